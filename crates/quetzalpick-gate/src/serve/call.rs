//! Calls to endpoints, and the failures of their attempts.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::Full;
use quetzalpick_client::http::Request;
use quetzalpick_core::retry::Deadline;
use quetzalpick_core::verdict::Verdict;

use crate::api::header::REQUEST_ID;
use crate::fleet::Requirement;

/// `Call` describes a request to an endpoint on behalf of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// Unique id generated for this request; the endpoint must echo it.
    pub(crate) id: String,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path_and_query: String,
    /// Headers; none of them contains a key.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// Requirement on the endpoint.
    pub(crate) requirement: Requirement,
    /// Whether the call may be sent again after an attempt that may have run.
    pub(crate) idempotent: bool,
    /// Time by which the caller must be answered.
    pub(crate) deadline: Deadline,
}

impl Call {
    /// Builds the HTTP request; `None` if the path, the query or the id is invalid.
    pub(crate) fn to_request(&self) -> Option<Request> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path_and_query.parse().ok()?;
        *request.headers_mut() = self.headers.clone();
        let id = HeaderValue::from_str(&self.id).ok()?;
        request.headers_mut().insert(REQUEST_ID, id);
        Some(request)
    }
}

/// `Cause` classifies failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Cause {
    /// No endpoint meets the requirement.
    #[strum(serialize = "nowhere")]
    NoEndpoint,
    /// The endpoint was unreachable, closed the connection, stopped sending or sent a malformed answer.
    Broken,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint is overloaded.
    Overloaded,
    /// The endpoint has not loaded the model or adapter.
    #[strum(serialize = "missing")]
    NotLoaded,
    /// The endpoint reported an error.
    Error,
    /// The engine has no state of the stream to resume.
    #[strum(serialize = "forgotten")]
    UnknownStream,
    /// The answer belongs to another request.
    #[strum(serialize = "crossed")]
    Mismatched,
    /// The caller disconnected or stopped reading its stream.
    #[strum(serialize = "abandoned")]
    CallerGone,
    /// The answer does not state its length, so its completeness cannot be checked.
    Unframed,
}

impl Cause {
    /// Parses the header by which an endpoint confirms that a request did not run.
    pub(crate) fn from_header(text: &str) -> Self {
        match text {
            "leaving" => Self::Leaving,
            "overloaded" => Self::Overloaded,
            "model" => Self::NotLoaded,
            "resume" => Self::UnknownStream,
            _ => Self::Error,
        }
    }

    /// Returns whether the failure counts against the endpoint's health.
    pub(crate) fn is_fault(self) -> bool {
        !matches!(
            self,
            Self::NoEndpoint | Self::Leaving | Self::Overloaded | Self::NotLoaded
        )
    }
}

/// `Failure` describes an attempt that yielded no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// Cause of the failure.
    pub(crate) cause: Cause,
    /// Time that the endpoint asks to wait before a retry.
    pub(crate) retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure without a time to wait before a retry.
    pub(crate) fn new(verdict: Verdict, cause: Cause) -> Self {
        Self {
            verdict,
            cause,
            retry_after: None,
        }
    }
}
