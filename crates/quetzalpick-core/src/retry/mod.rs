//! Retries: a budget for the whole gate, backoff with jitter, and deadlines.

mod backoff;
mod budget;
mod deadline;
mod step;

pub use backoff::Backoff;
pub use budget::{Budget, Options};
pub use deadline::Deadline;
pub use step::{Attempt, Step, next};
