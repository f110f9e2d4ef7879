//! Error type of the crate and its constructors.

use snafu::Snafu;

/// `Result` defaults the error type to the crate's own.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` describes why an input was rejected or a value could not be encoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A name is empty, too long or contains a character outside `[A-Za-z0-9._:/@-]`.
    #[snafu(display("'{text}' is not a name: 1 to {max} characters of A-Z a-z 0-9 . _ : / @ -"))]
    Name {
        /// The rejected text.
        text: String,
        /// The longest name allowed, in characters.
        max: usize,
    },
    /// Bytes could not be decoded as the expected type.
    #[snafu(display("cannot decode {what}: {reason}"))]
    Decode {
        /// The expected type.
        what: &'static str,
        /// Message of the codec.
        reason: String,
    },
    /// A value could not be encoded.
    #[snafu(display("cannot encode {what}: {reason}"))]
    Encode {
        /// The type of the value.
        what: &'static str,
        /// Message of the codec.
        reason: String,
    },
}

/// Builds a decoding error from a message of the codec.
pub(crate) fn decode_error(what: &'static str, reason: impl ToString) -> Error {
    Error::Decode {
        what,
        reason: reason.to_string(),
    }
}

/// Builds an encoding error from a message of the codec.
pub(crate) fn encode_error(what: &'static str, reason: impl ToString) -> Error {
    Error::Encode {
        what,
        reason: reason.to_string(),
    }
}
