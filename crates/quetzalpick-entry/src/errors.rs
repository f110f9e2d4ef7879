//! Errors of the crate and their constructors.

use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why an input was not usable or a part of the process failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A message from outside could not be read, or one to the outside not be written.
    #[snafu(display("malformed {what}: {reason}"))]
    Malformed {
        /// What it was to be.
        what: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// A part of the process could not start.
    #[snafu(transparent)]
    Node {
        /// The failure.
        source: quetzalpick_node::errors::Error,
    },
    /// Signals could not be awaited.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal {
        /// The system's error.
        source: std::io::Error,
    },
    /// The stop gave up on requests.
    #[snafu(display("requests were still under way when the time to stop ran out"))]
    Unfinished,
}

/// Builds the error of a message that could not be read or written.
pub fn malformed(what: &'static str, reason: impl ToString) -> Error {
    Error::Malformed {
        what,
        reason: reason.to_string(),
    }
}
