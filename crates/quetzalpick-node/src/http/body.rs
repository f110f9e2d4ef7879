//! Request and answer bodies.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;

/// Most bytes of a body that is too long that are read and dropped.
const DISCARD_MAX_BYTES: usize = 64 << 20;

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
/// The rest of a body that is too long is read and dropped, up to `DISCARD_MAX_BYTES`: a sender that is cut off while it
/// still sends may never see the answer.
///
/// # Errors
///
/// `Error` if the body is too long, too slow or breaks off.
pub async fn collect(body: Incoming, max: usize, limit: Duration) -> Result<Bytes, Error> {
    let whole = read_up_to(body, max);
    let late = |_| Err(Error::TooSlow { limit });
    tokio::time::timeout(limit, whole)
        .await
        .unwrap_or_else(late)
}

/// Reads a body, and drops it if it is longer than `max` bytes.
async fn read_up_to(mut body: Incoming, max: usize) -> Result<Bytes, Error> {
    let mut kept = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Broken {
            reason: error.to_string(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length <= max {
            kept.extend_from_slice(&data);
        } else if length > max + DISCARD_MAX_BYTES {
            break;
        }
    }
    if length > max {
        Err(Error::TooLong { max })
    } else {
        Ok(kept.freeze())
    }
}
