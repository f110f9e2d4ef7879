//! A call to an endpoint, and what can go wrong with it.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::Full;
use quetzalpick_client::http::Request;
use quetzalpick_core::retry::Deadline;
use quetzalpick_core::verdict::Verdict;

use crate::api::header::REQUEST_ID;
use crate::fleet::Requirement;

/// `Call` is what is sent to an endpoint on behalf of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// Id drawn for this request alone; the endpoint must echo it.
    pub(crate) id: String,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// Headers, without any key.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Bytes,
    /// What it needs of an endpoint.
    pub(crate) need: Requirement,
    /// Whether it may be repeated after it may have run.
    pub(crate) idempotent: bool,
    /// Time by which the caller must be answered.
    pub(crate) deadline: Deadline,
}

impl Call {
    /// Builds the HTTP request; `None` if its parts do not make one.
    pub(crate) fn to_request(&self) -> Option<Request> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().ok()?;
        *request.headers_mut() = self.headers.clone();
        let id = HeaderValue::from_str(&self.id).ok()?;
        request.headers_mut().insert(REQUEST_ID, id);
        Some(request)
    }
}

/// `Cause` is the kind of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Cause {
    /// No endpoint meets the need.
    Nowhere,
    /// The endpoint could not be reached, broke off or fell silent.
    Broken,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint is overloaded.
    Overloaded,
    /// The endpoint does not hold the model or adapter.
    Missing,
    /// The endpoint answered with a server error.
    Error,
    /// The engine does not know the stream that was to be resumed.
    Forgotten,
    /// The answer is not that of this request.
    Crossed,
    /// The caller does not take its stream.
    Abandoned,
    /// The answer's length is not stated, so that nobody can tell whether it is whole.
    Unframed,
}

impl Cause {
    /// Reads the header by which an endpoint vouches that nothing ran.
    pub(crate) fn from_header(text: &str) -> Self {
        match text {
            "leaving" => Self::Leaving,
            "overloaded" => Self::Overloaded,
            "model" => Self::Missing,
            "resume" => Self::Forgotten,
            _ => Self::Error,
        }
    }

    /// Tells whether the failure speaks against the endpoint's health.
    pub(crate) fn is_fault(self) -> bool {
        !matches!(
            self,
            Self::Nowhere | Self::Leaving | Self::Overloaded | Self::Missing
        )
    }
}

/// `Failure` is a try that brought no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// What went wrong.
    pub(crate) cause: Cause,
    /// When the endpoint asks to come back.
    pub(crate) retry_after: Option<Duration>,
}

impl Failure {
    /// Builds a failure.
    pub(crate) fn new(verdict: Verdict, cause: Cause) -> Self {
        Self {
            verdict,
            cause,
            retry_after: None,
        }
    }
}
