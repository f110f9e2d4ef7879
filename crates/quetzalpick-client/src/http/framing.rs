//! How the end of an answer's body is marked.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use strum::{Display, EnumString, IntoStaticStr};

/// `Framing` states how the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Framing {
    /// The head announces the length.
    Length,
    /// The body is chunked, and an empty chunk ends it.
    Chunked,
    /// The body ends with the connection, so that a closed connection looks like a complete body.
    ConnectionEnd,
}

impl Framing {
    /// Returns the framing that the head of an answer announces.
    pub fn of(head: &Parts) -> Self {
        // The head of an answer that another VM has passed on describes the connection to that VM.
        if let Some(framing) = head.extensions.get::<Self>() {
            return *framing;
        }
        let headers = &head.headers;
        // A transfer encoding overrides a length.
        let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
        let last_encoding = encodings.next_back().and_then(|value| value.to_str().ok());
        match last_encoding {
            Some(names) if names.to_ascii_lowercase().trim_end().ends_with("chunked") => {
                Self::Chunked
            }
            None if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            _ => Self::ConnectionEnd,
        }
    }
}
