//! Error types of the crate and their constructors.

use snafu::Snafu;

use crate::settings::Problems;

/// `Result` is returned by the fallible functions of the crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` describes why a component of the process could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A listener could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// Address to listen on.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A setting is invalid.
    #[snafu(display("invalid {what}: {reason}"))]
    Invalid {
        /// Name of the setting.
        what: &'static str,
        /// What is wrong with its value.
        reason: String,
    },
    /// The logger could not be started.
    #[snafu(display("cannot start the logger: {reason}"))]
    Logger {
        /// Message of the library.
        reason: String,
    },
    /// A settings file could not be read.
    #[snafu(display("{file}: {source}"))]
    Unreadable {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A settings file contains invalid settings.
    #[snafu(display("{source}"))]
    Unusable {
        /// Every problem in the file.
        source: Problems,
    },
    /// The metrics could not be set up.
    #[snafu(display("cannot set up metrics: {reason}"))]
    Metrics {
        /// Message of the library.
        reason: String,
    },
}

/// Builds the error of an invalid setting.
pub(crate) fn invalid(what: &'static str, reason: impl ToString) -> Error {
    Error::Invalid {
        what,
        reason: reason.to_string(),
    }
}
