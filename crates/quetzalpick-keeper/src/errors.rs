//! Errors that end a keeper.

use snafu::Snafu;

/// `Result` defaults its error type to `Error`.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` describes why a keeper could not start or keep running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A shared component of `quetzalpick-node` failed.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// Cause of the failure.
        source: quetzalpick_node::errors::Error,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal {
        /// Cause of the failure.
        source: std::io::Error,
    },
}
