//! Retries: a budget for the whole gate, backoff with jitter, deadlines, and when refused callers come back.

mod backoff;
mod budget;
mod deadline;
mod pressure;
mod step;

pub use backoff::Backoff;
pub use budget::{Budget, Options};
pub use deadline::Deadline;
pub use pressure::{Pressure, Spread};
pub use step::{Attempt, Step, next};
