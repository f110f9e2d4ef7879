//! Placement: which engine should load or unload what, in which order.
//!
//! The planner is a function of the folded state, the observed demand and what the engines last said. Its steps are
//! wishes: the fold rejects what could overcommit memory or leave an artifact without a confirmed copy.

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
