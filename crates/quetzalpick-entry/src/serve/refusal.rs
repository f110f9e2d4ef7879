//! Refusals: answers to requests that are not served.

use std::time::Duration;

use http::StatusCode;
use quetzalpick_core::verdict::Verdict;
use strum::{Display, IntoStaticStr};

use crate::serve::request::Admitted;

/// Retry delay if VMs that may know the answer did not reply, as the next leader will know it.
pub(crate) const RETRY_AFTER_UNANSWERED: Duration = Duration::from_millis(500);

/// Shortest retry delay of what needs a leader while none answers: a new one takes two to three seconds.
pub(crate) const RETRY_AFTER_LEADERLESS: Duration = Duration::from_millis(1_500);

/// `Cause` classifies why a request is not served; it determines the status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Cause {
    /// The head or the body is malformed.
    Malformed,
    /// The body is longer than the configuration allows.
    TooLarge,
    /// The head is longer than the configuration allows.
    HeadTooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The process has no memory left for the body.
    MemoryShort,
    /// The caller's HTTP version cannot mark the end of a stream.
    HttpVersion,
    /// No route matches the request.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The workspace has used up its quota.
    OverRate,
    /// This VM has not read a configuration yet.
    NoConfig,
    /// The view of this VM is too old to check keys.
    StaleView,
    /// It is not known which build began the stream that the request takes up, or that build is not reachable by the route.
    UnknownBuild,
    /// The request, or a part of its prompt, has crashed endpoints.
    Quarantined,
    /// No endpoint that accepts requests holds the required artifacts.
    NoEndpoint,
    /// All endpoints that hold the required artifacts are at the limits that they name.
    EndpointsLimited,
    /// All endpoints that hold the required artifacts run a build that other VMs may not know yet.
    UnsettledBuild,
    /// All attempted endpoints declined the request or were unreachable.
    EndpointsRefused,
    /// This VM stops before the request could be answered.
    Stopping,
    /// The endpoint failed, and the request may have run.
    EndpointFailed,
    /// The deadline of the request has passed.
    TimedOut,
}

impl Cause {
    /// Returns the HTTP status for the cause.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::HttpVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Self::MemoryShort
            | Self::NoConfig
            | Self::StaleView
            | Self::UnknownBuild
            | Self::Quarantined
            | Self::NoEndpoint
            | Self::EndpointsLimited
            | Self::UnsettledBuild
            | Self::EndpointsRefused
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::EndpointFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether a request refused for this cause may have run.
    pub(crate) fn verdict(self) -> Verdict {
        match self {
            Self::EndpointFailed | Self::TimedOut => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// `Refusal` holds the cause of a refusal and the retry delay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) cause: Cause,
    /// Retry delay; `None` if a retry would not help.
    pub(crate) retry_after: Option<Duration>,
    /// Details of the decision, for the log.
    pub(crate) detail: String,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub(crate) fn new(cause: Cause, detail: impl ToString) -> Self {
        Self {
            cause,
            retry_after: None,
            detail: detail.to_string(),
        }
    }

    /// Adds how often the request was sent, and how many endpoints may have run it, to the details.
    pub(crate) fn after(self, admitted: &Admitted) -> Self {
        let (sends, possible_runs) = (admitted.attempted.len(), admitted.possible_runs);
        let detail = format!(
            "{} sends={sends} possible_runs={possible_runs}",
            self.detail
        );
        Self { detail, ..self }
    }

    /// Sets the retry delay.
    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
