//! Complete calls to external systems: request, status and body.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use hyper::{Method, StatusCode};
use quetzalpick_core::verdict::Verdict;
use serde::de::DeserializeOwned;

use crate::errors::{Result, busy, malformed, refused, unanswered};
use crate::http::{Carrier, Fresh, Pool, Request, Timeouts};

/// Header with the time after which to retry, in ms.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Time after which to retry if the answer has neither `retry-after-ms` nor `Retry-After`.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// Slowest rate at which an answer may arrive, in bytes a second: a tenth of what the slowest links of VMs carry.
const ANSWER_MIN_BYTES_PER_S: u32 = 125_000;

/// Most characters of an error answer's body that are quoted in an error message.
const MESSAGE_MAX_CHARS: usize = 200;

/// Most bytes of a character in UTF-8.
const CHAR_MAX_BYTES: usize = 4;

/// `Reuse` determines which connections a call shares with others whose answers bear no id either: an answer that is written once more
/// is taken for the next one on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// The connection may be a kept one, and is kept.
    Always,
    /// The connection may be a kept one, and is kept after a success.
    AfterSuccess,
    /// The connection is a new one, and is closed after the answer.
    Never,
}

/// `Answer` holds a complete answer, with its body read into memory.
#[derive(Debug)]
pub struct Answer {
    /// Address of the system that answered.
    pub target: String,
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether no other answer came on its connection before, so that it is no copy of one.
    pub is_first: bool,
}

/// Builds a request; only an invalid path makes it fail.
///
/// # Errors
///
/// `Error::Unanswered` with `Verdict::NotRun` if the path is invalid.
pub fn request(
    target: &str,
    method: Method,
    path: &str,
    media_type: &'static str,
    body: Vec<u8>,
) -> Result<Request> {
    hyper::Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, media_type)
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| unanswered(target, Verdict::NotRun, e))
}

/// Sends a request and reads the complete answer, whose body may have up to `max_bytes` bytes and take as long as a pause may, and
/// longer as long as it arrives at `ANSWER_MIN_BYTES_PER_S`.
///
/// # Errors
///
/// Any error of the pool, `Error::Malformed` if the body is longer, and `Error::Unanswered` if it takes longer.
pub async fn send(
    pool: &Pool,
    target: &str,
    request: Request,
    timeouts: Timeouts,
    max_bytes: usize,
) -> Result<Answer> {
    send_over(pool, target, request, timeouts, max_bytes, Reuse::Always).await
}

/// Sends a request as `send` does, over a connection that is shared as `reuse` says.
///
/// # Errors
///
/// As for `send`.
pub async fn send_over(
    pool: &Pool,
    target: &str,
    mut request: Request,
    timeouts: Timeouts,
    max_bytes: usize,
    reuse: Reuse,
) -> Result<Answer> {
    if reuse == Reuse::Never {
        request.extensions_mut().insert(Fresh);
    }
    let response = pool.send(target, request, timeouts).await?;
    let (head, mut incoming) = response.into_parts();
    let body = incoming
        .collect_at(ANSWER_MIN_BYTES_PER_S, timeouts.body_idle, max_bytes)
        .await?;
    let is_kept = match reuse {
        Reuse::Always => true,
        Reuse::AfterSuccess => head.status.is_success(),
        Reuse::Never => false,
    };
    if !is_kept {
        incoming.discard();
    }
    let carrier = head.extensions.get::<Carrier>();
    Ok(Answer {
        target: target.to_owned(),
        status: head.status,
        is_first: carrier.is_some_and(|carrier| carrier.is_first()),
        headers: head.headers,
        body,
    })
}

impl Answer {
    /// Returns the answer if its status is a success, and maps other statuses to errors.
    ///
    /// # Errors
    ///
    /// `Error::Busy` for 429, `Error::Unanswered` for 5xx and `Error::Refused` for any other status.
    pub fn success(self) -> Result<Self> {
        match self.status {
            status if status.is_success() => Ok(self),
            StatusCode::TOO_MANY_REQUESTS => Err(busy(&self.target, self.retry_after())),
            // The system may have executed the call before it failed.
            status if status.is_server_error() => {
                let reason = format!("status {status}: {}", self.message());
                Err(unanswered(&self.target, Verdict::MayHaveRun, reason))
            }
            status => Err(refused(&self.target, status.as_u16(), self.message())),
        }
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if it does not decode.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| malformed(&self.target, e))
    }

    /// Decodes the body as MessagePack.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if it does not decode.
    pub fn message_pack<T: DeserializeOwned>(&self) -> Result<T> {
        rmp_serde::from_slice(&self.body).map_err(|e| malformed(&self.target, e))
    }

    /// Returns the time after which the system asks for a retry.
    fn retry_after(&self) -> Duration {
        let parse = |name: &str| -> Option<u64> {
            self.headers.get(name)?.to_str().ok()?.trim().parse().ok()
        };
        let seconds = || parse(RETRY_AFTER.as_str()).map(Duration::from_secs);
        parse(RETRY_AFTER_MS)
            .map(Duration::from_millis)
            .or_else(seconds)
            .unwrap_or(RETRY_AFTER_DEFAULT)
    }

    /// Returns the start of the body as text, for error messages.
    fn message(&self) -> String {
        let quoted = self.body.len().min(MESSAGE_MAX_CHARS * CHAR_MAX_BYTES);
        let text = String::from_utf8_lossy(&self.body[..quoted]);
        text.chars().take(MESSAGE_MAX_CHARS).collect()
    }
}
