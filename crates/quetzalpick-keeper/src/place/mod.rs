//! Placement: one keeper is the leader, plans which engine holds which artifact, and sends the orders until they are
//! settled.

mod engines;
mod leader;
mod metrics;
mod options;
mod orders;
mod schedule;

pub use leader::Leader;
pub use options::Options;
