//! Errors of the crate and their constructors.

use snafu::Snafu;

use crate::settings::Problems;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why a part of the process could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A listener could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A setting is not usable.
    #[snafu(display("invalid {what}: {reason}"))]
    Invalid {
        /// The setting.
        what: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// The logger could not be started.
    #[snafu(display("cannot start the logger: {reason}"))]
    Logger {
        /// The library's own message.
        reason: String,
    },
    /// A settings file could not be read.
    #[snafu(display("{file}: {source}"))]
    Unreadable {
        /// The file.
        file: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A settings file says what is not usable.
    #[snafu(display("{source}"))]
    Unusable {
        /// Every fault in it.
        source: Problems,
    },
    /// The metrics could not be set up.
    #[snafu(display("cannot set up metrics: {reason}"))]
    Metrics {
        /// The library's own message.
        reason: String,
    },
}

/// Builds an error about a setting.
pub(crate) fn invalid(what: &'static str, reason: impl ToString) -> Error {
    Error::Invalid {
        what,
        reason: reason.to_string(),
    }
}
