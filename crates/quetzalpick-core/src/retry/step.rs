//! The decision after a failed attempt.

use strum::Display;

use crate::retry::{Backoff, Budget, Deadline};
use crate::verdict::Verdict;

/// `Step` is the next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// Retry after a pause.
    Retry {
        /// The pause, in ms.
        after_ms: u64,
    },
    /// Answer the caller at once with the verdict: the request ran or may have run.
    Settled,
    /// Answer the caller at once: a retry would start after the deadline.
    Late,
    /// Answer the caller at once: the retry budget is spent.
    Exhausted,
}

/// `FailedAttempt` describes a failed attempt at a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether the request may be repeated after it may have run.
    pub idempotent: bool,
    /// Retries made so far.
    pub retries: u32,
    /// Time by which the caller must be answered.
    pub deadline: Deadline,
}

/// Decides the step after a failed attempt; `random` must be a new random number for each decision.
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
    // The budget is checked last so that only retries actually made are withdrawn from it.
    if !budget.withdraw(now_ms) {
        return Step::Exhausted;
    }
    Step::Retry { after_ms }
}
