//! Open-loop load against gates.

mod arrivals;
mod balancer;
mod call;
mod drive;
mod expected;
mod scenario;
mod sse;

pub use arrivals::{Arrival, RequestKind, schedule};
pub use call::{Outcome, OutcomeKind};
pub use drive::drive;
pub use scenario::{Balance, Process, Scenario, Shape, Workspace};
