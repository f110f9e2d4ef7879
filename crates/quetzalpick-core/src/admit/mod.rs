//! Admission: a bounded queue per model that is fair between workspaces.

mod lane;
mod queue;
mod ticket;

pub use queue::{Options, Queue};
pub use ticket::{Cause, Refusal, Ticket};
