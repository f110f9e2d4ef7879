//! Admission: a bounded queue per model that is fair between workspaces.

mod queue;
mod throughput;
mod waiter;
mod workspace_queue;

pub use queue::{Options, Queue};
pub use waiter::{Cause, Refusal, Waiter};
