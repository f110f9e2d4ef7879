//! Errors of the crate.

use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` describes why a gate could not start or did not stop cleanly.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A component from `quetzalpick-node`, such as a listener or the replica, could not start.
    #[snafu(display("{source}"), context(false))]
    Node {
        /// The component's error.
        source: quetzalpick_node::errors::Error,
    },
    /// The stop signals could not be registered.
    #[snafu(display("cannot await signals: {source}"))]
    Signal {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The planned stop ended before every request and claim was finished.
    #[snafu(display("stopped before everything was finished"))]
    Unfinished,
}
