//! Routing: which endpoint gets a request.

mod candidate;
mod choose;
mod health;
mod holders;
mod prefix;

pub use candidate::{Candidate, Load};
pub use choose::{Choice, Options, Policy, Reason, choose};
pub use health::{Health, HealthOptions};
pub use holders::Holders;
pub use prefix::Prefixes;
