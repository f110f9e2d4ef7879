//! Own answers to requests that are not served.

use std::time::Duration;

use http::StatusCode;
use quetzalpick_core::verdict::Verdict;
use strum::{Display, IntoStaticStr};

/// `Cause` says why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Cause {
    /// The head or the body cannot be read.
    Malformed,
    /// The body is longer than the configuration allows.
    TooLarge,
    /// The head is longer than the configuration allows.
    HeadTooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// No route takes the request.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The workspace has spent its rate and burst.
    OverRate,
    /// This VM has not read a configuration yet.
    NoConfig,
    /// This VM cannot vouch for keys, as its view is too old.
    StaleView,
    /// No endpoint that stays holds what the request needs.
    NoEndpoint,
    /// The endpoints that were asked did not take the request.
    EndpointsRefused,
    /// The endpoint failed, and the request may have run.
    EndpointFailed,
    /// The time for the answer is over.
    TimedOut,
}

impl Cause {
    /// Returns the status that tells a caller of the cause.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfig | Self::StaleView | Self::NoEndpoint | Self::EndpointsRefused => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::EndpointFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether a request that is refused for the cause may have run.
    pub(crate) fn verdict(self) -> Verdict {
        match self {
            Self::EndpointFailed | Self::TimedOut => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// `Refusal` says why a request is not served, and when to come back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) cause: Cause,
    /// When to come back; `None` if that would change nothing.
    pub(crate) retry_after: Option<Duration>,
    /// What decided it, for the log.
    pub(crate) detail: String,
}

impl Refusal {
    /// Makes a refusal.
    pub(crate) fn new(cause: Cause, detail: impl ToString) -> Self {
        Self {
            cause,
            retry_after: None,
            detail: detail.to_string(),
        }
    }

    /// Tells the caller when to come back.
    pub(crate) fn after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
