//! Refusals: error answers with type, message and verdict.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use quetzalpick_core::verdict::Verdict;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::api::body::Reply;

/// Header that carries the verdict of a refusal.
pub(crate) const VERDICT: HeaderName = HeaderName::from_static("x-quetzalpick-verdict");

/// Header that gives the time to come back in milliseconds, beside `Retry-After` in seconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// `Kind` is the type of a refusal, as callers of such interfaces know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Kind {
    /// The request is not well-formed.
    InvalidRequestError,
    /// The key is missing or not known.
    AuthenticationError,
    /// There is no such path, model or service.
    NotFoundError,
    /// The method does not fit the path.
    MethodError,
    /// The sender was too slow.
    TimeoutError,
    /// The body is too large.
    RequestTooLarge,
    /// A call with this idempotency key was made before, and its outcome is not known.
    ConflictError,
    /// The idempotency key was used for another call.
    IdempotencyError,
    /// The workspace's rate or burst does not allow the request now.
    RateLimitError,
    /// The queue is full, or the request would miss its deadline.
    OverloadedError,
    /// This VM or the log cannot serve the request now.
    UnavailableError,
    /// The endpoints failed.
    UpstreamError,
    /// The deadline passed.
    DeadlineError,
}

impl Kind {
    /// Returns the HTTP status of the type.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::InvalidRequestError => StatusCode::BAD_REQUEST,
            Self::AuthenticationError => StatusCode::UNAUTHORIZED,
            Self::NotFoundError => StatusCode::NOT_FOUND,
            Self::MethodError => StatusCode::METHOD_NOT_ALLOWED,
            Self::TimeoutError => StatusCode::REQUEST_TIMEOUT,
            Self::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::ConflictError => StatusCode::CONFLICT,
            Self::IdempotencyError => StatusCode::UNPROCESSABLE_ENTITY,
            Self::RateLimitError => StatusCode::TOO_MANY_REQUESTS,
            Self::OverloadedError | Self::UnavailableError => StatusCode::SERVICE_UNAVAILABLE,
            Self::UpstreamError => StatusCode::BAD_GATEWAY,
            Self::DeadlineError => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// `Refusal` is an answer that tells why a request was not served, and whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Its type.
    pub(crate) kind: Kind,
    /// What went wrong, for people.
    pub(crate) message: String,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
}

/// `Envelope` is the JSON form of a refusal.
#[derive(Serialize)]
struct Envelope<'a> {
    error: Detail<'a>,
}

/// `Detail` is what the envelope holds.
#[derive(Serialize)]
struct Detail<'a> {
    r#type: &'static str,
    message: &'a str,
    verdict: Verdict,
}

impl Refusal {
    /// Builds a refusal of a request that did not run.
    pub(crate) fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Builds a refusal with a verdict.
    pub(crate) fn with_verdict(kind: Kind, message: impl Into<String>, verdict: Verdict) -> Self {
        Self {
            verdict,
            ..Self::not_run(kind, message)
        }
    }

    /// Adds when to come back.
    pub(crate) fn after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the JSON form.
    pub(crate) fn to_json(&self) -> String {
        let envelope = Envelope {
            error: Detail {
                r#type: self.kind.into(),
                message: &self.message,
                verdict: self.verdict,
            },
        };
        // Three strings always encode.
        serde_json::to_string(&envelope).unwrap_or_default()
    }

    /// Turns the refusal into an HTTP answer.
    pub(crate) fn into_response(self) -> Response<Reply> {
        let mut response = Response::new(Reply::full(Bytes::from(self.to_json())));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(VERDICT, HeaderValue::from_static(self.verdict.into()));
        if let Some(after) = self.retry_after {
            // Whole seconds are rounded up, so that nobody comes back too early.
            let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1000)));
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(millis));
        }
        response
    }
}
