//! Reading of request bodies within limits.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use quetzalpick_client::http::buffer::Buffer;
use snafu::Snafu;

use crate::http::memory::Memory;

/// Multiple of the limit up to which a refused body is read and dropped.
const DISCARD_FACTOR: usize = 2;

/// Bytes of a refused body that are read and dropped whatever the limit is.
const DISCARD_MIN_BYTES: usize = 256 * 1024;

/// Longest time for which a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// The process has no memory left for the body.
    #[snafu(display("memory for bodies is short"))]
    MemoryShort,
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
            Self::MemoryShort => hyper::StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken { .. } => hyper::StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a complete body of up to `max_bytes` bytes within a time limit, and reserves memory for it before.
///
/// The returned bytes keep the memory until their last reference is dropped. A refused body is discarded.
///
/// # Errors
///
/// `Error` if the body is too long, arrives too slowly or is cut short, or if memory is short.
pub async fn collect(
    body: &mut Incoming,
    memory: &Memory,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, Error> {
    let read = read_up_to(body, memory, max_bytes);
    let timed_out = |_| Err(Error::TooSlow { limit });
    let read = tokio::time::timeout(limit, read)
        .await
        .unwrap_or_else(timed_out);
    if matches!(read, Err(Error::TooLong { .. } | Error::MemoryShort)) {
        discard(body, max_bytes).await;
    }
    read
}

/// Reads and drops the rest of a refused body for a short time: a sender whose connection is closed while it is still sending may never
/// receive the answer. One that is announced as far longer than `max_bytes` bytes is left unread, which closes the connection.
pub async fn discard(body: &mut Incoming, max_bytes: usize) {
    let mut left = max_bytes
        .saturating_mul(DISCARD_FACTOR)
        .max(DISCARD_MIN_BYTES) as u64;
    if body.size_hint().lower() > left {
        return;
    }
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len) as u64;
            if length > left {
                break;
            }
            left -= length;
        }
    };
    // What takes longer is not waited for.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Reads a body to its end, or until it is longer than `max_bytes` bytes.
async fn read_up_to(
    body: &mut Incoming,
    memory: &Memory,
    max_bytes: usize,
) -> Result<Bytes, Error> {
    let too_long = Error::TooLong { max: max_bytes };
    let announced = body.size_hint().exact().map(usize::try_from);
    let announced = match announced {
        Some(Ok(announced)) if announced <= max_bytes => Some(announced),
        Some(_) => return Err(too_long),
        None => None,
    };
    let buffer = Buffer::try_new(memory, announced, max_bytes);
    let mut buffer = buffer.ok_or(Error::MemoryShort)?;
    while let Some(frame) = next_frame(body, &buffer).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(too_long);
        }
        buffer.extend(&data).ok_or(Error::MemoryShort)?;
    }
    buffer.finish().ok_or(Error::MemoryShort)
}

/// Waits for the next frame, unless the memory of the body is given to others before.
async fn next_frame(body: &mut Incoming, buffer: &Buffer) -> Result<Option<Frame<Bytes>>, Error> {
    let frame = tokio::select! {
        biased;
        () = buffer.lost() => return Err(Error::MemoryShort),
        frame = body.frame() => frame,
    };
    frame.transpose().map_err(|error| Error::Broken {
        reason: error.to_string(),
    })
}
