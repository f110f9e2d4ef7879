//! Request and answer bodies.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use snafu::Snafu;

/// `Error` says why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The body is longer than allowed.
    #[snafu(display("body is longer than {max} bytes"))]
    TooLong {
        /// Most bytes allowed.
        max: usize,
    },
    /// The sender was too slow.
    #[snafu(display("body did not arrive within {} ms", limit.as_millis()))]
    TooSlow {
        /// Longest time allowed.
        limit: Duration,
    },
    /// The connection failed.
    #[snafu(display("body broke off: {reason}"))]
    Broken {
        /// What happened.
        reason: String,
    },
}

impl Error {
    /// Returns the HTTP status that tells a caller of the error.
    pub fn status(&self) -> hyper::StatusCode {
        match self {
            Self::TooLong { .. } => hyper::StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => hyper::StatusCode::REQUEST_TIMEOUT,
            Self::Broken { .. } => hyper::StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a whole body within limits of size and time.
///
/// # Errors
///
/// `Error` if the body is too long, too slow or breaks off.
pub async fn collect(body: Incoming, max: usize, limit: Duration) -> Result<Bytes, Error> {
    use http_body_util::{BodyExt, LengthLimitError, Limited};
    let whole = Limited::new(body, max).collect();
    match tokio::time::timeout(limit, whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Error::TooLong { max }),
        Ok(Err(e)) => Err(Error::Broken {
            reason: e.to_string(),
        }),
        Err(_) => Err(Error::TooSlow { limit }),
    }
}
