//! Errors of the crate and their constructors.

use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why an input was not usable.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A name is empty, too long or holds a character outside `[A-Za-z0-9._:/@-]`.
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
        /// What was expected.
        what: &'static str,
        /// The codec's own message.
        reason: String,
    },
    /// A value could not be encoded.
    #[snafu(display("cannot encode {what}: {reason}"))]
    Encode {
        /// What was to be encoded.
        what: &'static str,
        /// The codec's own message.
        reason: String,
    },
}

/// Builds a decoding error from the codec's message.
pub(crate) fn decode_error(what: &'static str, reason: impl ToString) -> Error {
    Error::Decode {
        what,
        reason: reason.to_string(),
    }
}

/// Builds an encoding error from the codec's message.
pub(crate) fn encode_error(what: &'static str, reason: impl ToString) -> Error {
    Error::Encode {
        what,
        reason: reason.to_string(),
    }
}
