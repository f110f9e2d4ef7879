//! Errors of the keeper.

use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why a keeper could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A part that all processes share failed.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// What went wrong.
        source: quetzalpick_node::errors::Error,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal {
        /// What went wrong.
        source: std::io::Error,
    },
}
