//! Placement: one keeper leads, plans, and sees its orders through.

mod engines;
mod leader;
mod meters;
mod options;
mod orders;
mod round;

pub use leader::Leader;
pub use options::Options;
