//! Errors of the command line.

use std::path::PathBuf;

use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why a line could not be sent or answered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The operator's token could not be read.
    #[snafu(display("cannot read the token from {}: {source}", path.display()))]
    Token {
        /// File of the token.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// No token was given.
    #[snafu(display("no token: give --token-file or set QUETZALPICK_TOKEN"))]
    NoToken,
    /// The command id is not 32 hexadecimal digits.
    #[snafu(display("'{text}' is not a command id of 32 hexadecimal digits"))]
    Command {
        /// The rejected text.
        text: String,
    },
    /// No server could be reached, and nothing was sent.
    #[snafu(display("no server could be reached: {reason}"))]
    Unreachable {
        /// What the last server met.
        reason: String,
    },
    /// A server refused the call.
    #[snafu(display("refused with status {status}: {message}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// The server's message.
        message: String,
    },
    /// The command was sent and it is not known what became of it.
    #[snafu(display("it is not known what became of command {command}: {reason}"))]
    Unknown {
        /// Id of the command.
        command: String,
        /// What happened.
        reason: String,
    },
}
