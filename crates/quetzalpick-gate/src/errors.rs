//! Errors of the crate.

use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why a gate could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A part shared with the other processes could not start.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// What it met.
        source: quetzalpick_node::errors::Error,
    },
}
