//! Request limits of endpoints: how many requests a second an endpoint takes from all VMs together, because it names a limit or is
//! cold.
//!
//! The leader divides a limit: a VM sends to such an endpoint with a permit that it has drawn. A VM that finds no leader has a
//! small share of its own.

mod cold;
mod permits;
mod rate;
mod share;
mod spacing;
mod statement;

pub use cold::{Cold, Warmup};
pub use permits::{Need, Permits};
pub use rate::Rate;
pub use share::Share;
pub use spacing::{Limit, Spacing};
pub use statement::Statement;

/// Millionths of a request in one request.
const MICRO: u64 = 1_000_000;
