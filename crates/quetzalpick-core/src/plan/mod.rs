//! Placement: which engine should load or unload which artifact, in which order.
//!
//! The planner computes steps from the folded state, the observed demand and the last reported status of the engines.
//! Its steps are proposals: the fold rejects those that could overcommit memory or leave an artifact without a
//! confirmed copy.

mod builder;
mod demand;
mod fleet;
mod gain;
mod item;
mod limits;
mod memory;
mod planner;
mod rules;
mod spare;
mod step;

pub use demand::Demand;
pub use planner::{Options, Planner, Policy};
pub use step::{Reason, Status, Step};
