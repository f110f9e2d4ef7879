//! Reading of request bodies within limits.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;

/// Most bytes above the limit that are read and dropped if a body is too long.
const DISCARD_MAX_BYTES: usize = 64 << 20;

/// `Error` describes why a body could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The body is longer than allowed.
    #[snafu(display("body is longer than {max} bytes"))]
    TooLong {
        /// Most bytes allowed.
        max: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("body did not arrive within {} ms", limit.as_millis()))]
    TooSlow {
        /// Longest time allowed.
        limit: Duration,
    },
    /// The connection failed before the end of the body.
    #[snafu(display("body broke off: {reason}"))]
    Broken {
        /// Error of the connection.
        reason: String,
    },
}

impl Error {
    /// Returns the HTTP status for the error.
    pub fn status(&self) -> hyper::StatusCode {
        match self {
            Self::TooLong { .. } => hyper::StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => hyper::StatusCode::REQUEST_TIMEOUT,
            Self::Broken { .. } => hyper::StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a complete body of up to `max_bytes` bytes within a time limit.
///
/// The rest of a body that is too long is read and dropped, up to `DISCARD_MAX_BYTES`: a sender whose connection is
/// closed while it is still sending may never receive the answer.
///
/// # Errors
///
/// `Error` if the body is too long, arrives too slowly or is cut short.
pub async fn collect(body: Incoming, max_bytes: usize, limit: Duration) -> Result<Bytes, Error> {
    let read = read_up_to(body, max_bytes);
    let timed_out = |_| Err(Error::TooSlow { limit });
    tokio::time::timeout(limit, read)
        .await
        .unwrap_or_else(timed_out)
}

/// Reads a body to its end; the data is dropped if it is longer than `max_bytes` bytes.
async fn read_up_to(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Broken {
            reason: error.to_string(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length <= max_bytes {
            bytes.extend_from_slice(&data);
        } else if length > max_bytes + DISCARD_MAX_BYTES {
            break;
        }
    }
    if length > max_bytes {
        Err(Error::TooLong { max: max_bytes })
    } else {
        Ok(bytes.freeze())
    }
}
