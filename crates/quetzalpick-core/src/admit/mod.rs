//! Admission: a bounded queue per model that is fair between workspaces.

mod lane;
mod queue;
mod speed;
mod ticket;

pub use queue::{Options, Queue};
pub use ticket::{Cause, Refusal, Ticket};
