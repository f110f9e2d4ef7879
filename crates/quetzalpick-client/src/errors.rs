//! Errors of calls to outside systems.

use std::time::Duration;

use quetzalpick_core::verdict::Verdict;
use snafu::Snafu;

/// `Result` is the result of calls to outside systems.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why a call to an outside system failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
#[non_exhaustive]
pub enum Error {
    /// The call was not answered; the verdict says whether it may have taken effect.
    #[snafu(display("{target} did not answer ({verdict}): {reason}"))]
    Unanswered {
        /// Address called.
        target: String,
        /// Whether the call may have taken effect.
        verdict: Verdict,
        /// What happened.
        reason: String,
    },
    /// The system is up but asks to come back later; nothing was done.
    #[snafu(display("{target} is busy, come back in {} ms", retry_after.as_millis()))]
    Busy {
        /// Address called.
        target: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// The records asked for are no longer kept.
    #[snafu(display("records before {oldest} are no longer kept"))]
    Trimmed {
        /// Oldest offset kept.
        oldest: u64,
    },
    /// The order's fencing number is older than one that the engine has seen; nothing was done.
    #[snafu(display("fencing number {number} is older than {seen}"))]
    Fenced {
        /// Number of the order.
        number: u64,
        /// Number that the engine has seen.
        seen: u64,
    },
    /// An append named an offset at which the topic does not end; nothing was done.
    #[snafu(display("the topic ends at {end}, not where the append expects"))]
    Conflict {
        /// Where the topic ends.
        end: u64,
    },
    /// The system refused for good; nothing was done.
    #[snafu(display("{target} refused with status {status}: {message}"))]
    Refused {
        /// Address called.
        target: String,
        /// HTTP status.
        status: u16,
        /// The system's own message.
        message: String,
    },
    /// The answer could not be understood; the call may have taken effect.
    #[snafu(display("cannot understand the answer of {target}: {reason}"))]
    Malformed {
        /// Address called.
        target: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl Error {
    /// Tells whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unanswered { verdict, .. } => *verdict,
            Self::Malformed { .. } => Verdict::MayHaveRun,
            Self::Busy { .. }
            | Self::Trimmed { .. }
            | Self::Fenced { .. }
            | Self::Conflict { .. }
            | Self::Refused { .. } => Verdict::NotRun,
        }
    }
}

/// Builds the error of a call that was not answered.
pub fn unanswered(target: impl ToString, verdict: Verdict, reason: impl ToString) -> Error {
    Error::Unanswered {
        target: target.to_string(),
        verdict,
        reason: reason.to_string(),
    }
}

/// Builds the error of an answer that could not be understood.
pub fn malformed(target: impl ToString, reason: impl ToString) -> Error {
    Error::Malformed {
        target: target.to_string(),
        reason: reason.to_string(),
    }
}

/// Builds the error of a system that asks to come back later.
pub fn busy(target: impl ToString, retry_after: Duration) -> Error {
    Error::Busy {
        target: target.to_string(),
        retry_after,
    }
}

/// Builds the error of a system that refused for good.
pub fn refused(target: impl ToString, status: u16, message: impl ToString) -> Error {
    Error::Refused {
        target: target.to_string(),
        status,
        message: message.to_string(),
    }
}
