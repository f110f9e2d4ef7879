//! An open-loop run against gates.

mod arrivals;
mod balancer;
mod call;
mod drive;
mod expected;
mod scenario;
mod sse;

pub use arrivals::{Arrival, Kind, schedule};
pub use call::{End, Outcome};
pub use drive::drive;
pub use scenario::{Balance, Process, Scenario, Shape, Workspace};
