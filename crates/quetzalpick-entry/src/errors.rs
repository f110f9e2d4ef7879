//! Errors of the crate and their constructors.

use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` describes an unusable input or a failed component of the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// An external message could not be decoded or encoded.
    #[snafu(display("malformed {what}: {reason}"))]
    Malformed {
        /// The kind of message or field.
        what: &'static str,
        /// The reason.
        reason: String,
    },
    /// A component of the process could not start.
    #[snafu(transparent)]
    Node {
        /// The cause.
        source: quetzalpick_node::errors::Error,
    },
    /// Signals could not be awaited.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal {
        /// The system's error.
        source: std::io::Error,
    },
    /// Requests were abandoned at the stop timeout.
    #[snafu(display("requests were still in flight when the stop timed out"))]
    Unfinished,
}

/// Builds the error for a message or field that could not be decoded or encoded.
pub fn malformed(what: &'static str, reason: impl ToString) -> Error {
    Error::Malformed {
        what,
        reason: reason.to_string(),
    }
}
