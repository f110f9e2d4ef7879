//! Retries: a budget for the whole gate, backoff with jitter, deadlines, and when refused callers come back.

mod backoff;
mod budget;
mod deadline;
mod refusal_rate;
mod step;

pub use backoff::Backoff;
pub use budget::{Budget, Options};
pub use deadline::Deadline;
pub use refusal_rate::{RefusalRate, RetryAfter};
pub use step::{FailedAttempt, Step, next_step};
