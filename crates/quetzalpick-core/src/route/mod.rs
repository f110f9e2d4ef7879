//! Routing: which endpoint gets a request.

mod candidate;
mod choose;
mod health;
mod holders;
mod prefix;
mod room;

pub use candidate::{Candidate, Load};
pub use choose::{Choice, Options, Policy, Reason, choose};
pub use health::{Health, HealthOptions};
pub use holders::Holders;
pub use prefix::Prefixes;
pub use room::{Crowd, Offers, Pace, has_room};
