//! Errors of calls to external systems.

use std::time::Duration;

use quetzalpick_core::id::Era;
use quetzalpick_core::verdict::Verdict;
use snafu::Snafu;

/// `Result` is returned by calls to external systems.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` describes why a call to an external system failed and whether the call may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
#[non_exhaustive]
pub enum Error {
    /// The call failed without a usable answer; the verdict states whether it may have taken effect.
    #[snafu(display("{target} did not answer ({verdict}): {reason}"))]
    Unanswered {
        /// Address called.
        target: String,
        /// Whether the call may have taken effect.
        verdict: Verdict,
        /// Cause of the failure.
        reason: String,
    },
    /// The system is up but asks the caller to retry later; the call had no effect.
    #[snafu(display("{target} is busy, retry in {} ms", retry_after.as_millis()))]
    Busy {
        /// Address called.
        target: String,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The records asked for are no longer kept.
    #[snafu(display("records before {oldest} are no longer kept"))]
    Trimmed {
        /// Oldest offset kept.
        oldest: u64,
    },
    /// The order's fencing number is older than the newest one that the engine has received; the order had no effect.
    #[snafu(display("fencing number {number} is older than {newest}"))]
    Fenced {
        /// Fencing number of the order.
        number: u64,
        /// Newest number that the engine has received.
        newest: u64,
    },
    /// A conditional append expected another end offset than the topic has; nothing was appended.
    #[snafu(display("the topic ends at {end}, not at the offset that the append expects"))]
    Conflict {
        /// End offset of the topic.
        end: u64,
    },
    /// The topics were restored from an older copy since the position that the call names, which is void; an append may have taken
    /// effect.
    #[snafu(display("the topics were restored from an older copy, era {era} has begun"))]
    Restored {
        /// Era that has begun.
        era: Era,
    },
    /// The system refused the call, which had no effect; a retry would be refused too.
    #[snafu(display("{target} refused with status {status}: {message}"))]
    Refused {
        /// Address called.
        target: String,
        /// HTTP status.
        status: u16,
        /// Message of the system.
        message: String,
    },
    /// The process had no memory for the answer, or gave it to others; the call may have taken effect.
    #[snafu(display("no memory for the answer from {target} after {received} bytes"))]
    MemoryShort {
        /// Address called.
        target: String,
        /// Bytes of the answer that had arrived.
        received: usize,
    },
    /// The answer could not be decoded; the call may have taken effect.
    #[snafu(display("malformed answer from {target}: {reason}"))]
    Malformed {
        /// Address called.
        target: String,
        /// What is wrong with the answer.
        reason: String,
    },
}

impl Error {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unanswered { verdict, .. } => *verdict,
            Self::Malformed { .. } | Self::MemoryShort { .. } | Self::Restored { .. } => {
                Verdict::MayHaveRun
            }
            Self::Busy { .. }
            | Self::Trimmed { .. }
            | Self::Fenced { .. }
            | Self::Conflict { .. }
            | Self::Refused { .. } => Verdict::NotRun,
        }
    }

    /// Returns whether nothing was sent because no connection could be used.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Unanswered {
                verdict: Verdict::NotRun,
                ..
            }
        )
    }
}

/// Builds the error of a call that failed without a usable answer.
pub fn unanswered(target: impl ToString, verdict: Verdict, reason: impl ToString) -> Error {
    Error::Unanswered {
        target: target.to_string(),
        verdict,
        reason: reason.to_string(),
    }
}

/// Builds the error of an answer that could not be decoded.
pub fn malformed(target: impl ToString, reason: impl ToString) -> Error {
    Error::Malformed {
        target: target.to_string(),
        reason: reason.to_string(),
    }
}

/// Builds the error of an answer for which there is no memory.
pub fn memory_short(target: impl ToString, received: usize) -> Error {
    Error::MemoryShort {
        target: target.to_string(),
        received,
    }
}

/// Builds the error of a system that asks the caller to retry later.
pub fn busy(target: impl ToString, retry_after: Duration) -> Error {
    Error::Busy {
        target: target.to_string(),
        retry_after,
    }
}

/// Builds the error of a call that the system refused and would refuse again.
pub fn refused(target: impl ToString, status: u16, message: impl ToString) -> Error {
    Error::Refused {
        target: target.to_string(),
        status,
        message: message.to_string(),
    }
}
