//! In-memory fakes of external systems with fault injection, for tests of all crates.

mod log;
mod shared;
mod topics;

pub use log::Log;
pub use topics::{Backup, Topics};
