//! Errors of the crate.

use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why a gate could not start or go on.
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
    /// The signal to stop could not be awaited.
    #[snafu(display("cannot await signals: {source}"))]
    Signal {
        /// What the system said.
        source: std::io::Error,
    },
    /// The planned stop did not finish everything.
    #[snafu(display("stopped before everything was finished"))]
    Unfinished,
}
