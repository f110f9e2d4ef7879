//! Admission: a bounded queue per model that is fair between workspaces.

mod lane;
mod queue;
mod speed;
mod waiter;

pub use queue::{Options, Queue};
pub use waiter::{Cause, Refusal, Waiter};
