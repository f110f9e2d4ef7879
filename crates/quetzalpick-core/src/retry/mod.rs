//! Retries: a budget per gate, backoff with jitter, deadlines, and the time after which refused callers retry.

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
