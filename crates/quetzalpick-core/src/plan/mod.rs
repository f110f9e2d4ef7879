//! Placement: which engine should load or unload what, in which order.

mod demand;
mod planner;
mod step;

pub use demand::Demand;
pub use planner::{Options, Planner, Policy};
pub use step::{Reason, Status, Step};
