//! Errors of the command-line client.

use std::path::PathBuf;

use snafu::Snafu;

/// `Result` is returned by the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` lists the reasons why a line is not sent or has no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The operator's token could not be read.
    #[snafu(display("cannot read the token from {}: {source}", path.display()))]
    ReadToken {
        /// Path of the token file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// Neither a token file nor the environment variable was given.
    #[snafu(display("no token: give --token-file or set QUETZALPICK_TOKEN"))]
    NoToken,
    /// The command id is not 32 hexadecimal digits.
    #[snafu(display("'{text}' is not a command id of 32 hexadecimal digits"))]
    InvalidCommandId {
        /// The invalid text.
        text: String,
    },
    /// No server could be reached, and nothing was sent.
    #[snafu(display("no server could be reached: {reason}"))]
    Unreachable {
        /// Error of the last server.
        reason: String,
    },
    /// A server refused the request.
    #[snafu(display("refused with status {status}: {message}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// The server's message.
        message: String,
    },
    /// The command was sent and its outcome is unknown.
    #[snafu(display("the outcome of command {command} is unknown: {reason}"))]
    Unknown {
        /// Id of the command.
        command: String,
        /// Why the reply is missing.
        reason: String,
    },
}
