//! Error answers to callers, with a type, a message and a verdict.

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

/// Header with the time to wait before a retry in milliseconds; `Retry-After` states it in seconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// `Kind` lists the error types of refusals, under the names that are usual for completion APIs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Kind {
    /// The request is malformed.
    InvalidRequestError,
    /// The key is missing or unknown.
    AuthenticationError,
    /// The path, model or service does not exist.
    NotFoundError,
    /// The path does not support the method.
    MethodError,
    /// The caller sent the request too slowly.
    TimeoutError,
    /// The body is too large.
    RequestTooLarge,
    /// An earlier call with this idempotency key was made, and its outcome is unknown.
    ConflictError,
    /// The idempotency key was used for another call.
    IdempotencyError,
    /// The workspace's rate or burst does not allow the request at present.
    RateLimitError,
    /// The queue is full, or the request would miss its deadline.
    OverloadedError,
    /// This VM or the log cannot serve the request at present.
    UnavailableError,
    /// The endpoints failed.
    UpstreamError,
    /// The deadline of the request passed.
    DeadlineError,
}

impl Kind {
    /// Returns the HTTP status of answers of this type.
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

/// `Refusal` describes why a request was not served, and whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Error type.
    pub(crate) kind: Kind,
    /// Human-readable description.
    pub(crate) message: String,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// Time to wait before a retry.
    pub(crate) retry_after: Option<Duration>,
}

/// `Envelope` wraps the error of a refusal in its JSON form.
#[derive(Serialize)]
struct Envelope<'a> {
    error: Detail<'a>,
}

/// `Detail` holds the error in the JSON form.
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

    /// Sets the time to wait before a retry.
    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the refusal as JSON.
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

    /// Converts the refusal into an HTTP response.
    pub(crate) fn into_response(self) -> Response<Reply> {
        let mut response = Response::new(Reply::full(Bytes::from(self.to_json())));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(VERDICT, HeaderValue::from_static(self.verdict.into()));
        if let Some(retry_after) = self.retry_after {
            // Seconds are rounded up, so that callers do not retry too early.
            let millis = u64::try_from(retry_after.as_millis())
                .unwrap_or(u64::MAX)
                .max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1000)));
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(millis));
        }
        response
    }
}
