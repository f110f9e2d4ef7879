//! Starts the logger.

use crate::errors::Result;
use crate::settings::sections;

/// Starts the logger for the whole process.
///
/// # Errors
///
/// `Error::Logger` if a logger was started before.
pub fn try_start(settings: &sections::Log) -> Result<()> {
    let _ = settings;
    todo!()
}
