//! The decision after a failed try.

use strum::Display;

use crate::retry::{Backoff, Budget, Deadline};
use crate::verdict::Verdict;

/// `Step` is what to do after a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// Try again after a pause.
    Retry {
        /// The pause, in ms.
        after_ms: u64,
    },
    /// Answer the caller at once with the verdict: it may have run, or it ran.
    Settled,
    /// Answer the caller at once: no retry would end before the deadline.
    Late,
    /// Answer the caller at once: the retry budget is spent.
    Exhausted,
}

/// `FailedAttempt` is a try that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether the request may be repeated after it ran.
    pub idempotent: bool,
    /// Retries made so far.
    pub retries: u32,
    /// Time by which the caller must be answered.
    pub deadline: Deadline,
}

/// Decides what follows a try that failed; `random` is drawn anew for each decision.
pub fn next_step(
    now_ms: u64,
    attempt: FailedAttempt,
    budget: &mut Budget,
    backoff: &Backoff,
    random: u64,
) -> Step {
    if !attempt.verdict.allows_retry(attempt.idempotent) {
        return Step::Settled;
    }
    let after_ms = backoff.pause_ms(attempt.retries, random);
    if attempt.deadline.has_passed(now_ms.saturating_add(after_ms)) {
        return Step::Late;
    }
    // The budget is asked last, so that only a retry that is really made is taken from it.
    if !budget.withdraw(now_ms) {
        return Step::Exhausted;
    }
    Step::Retry { after_ms }
}
