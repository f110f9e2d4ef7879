//! Placement: one keeper leads, plans, and sees its orders through.

mod engines;
mod leader;
mod metrics;
mod options;
mod orders;
mod schedule;

pub use leader::Leader;
pub use options::Options;
