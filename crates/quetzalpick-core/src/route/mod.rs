//! Routing: which endpoint gets a request.

mod candidate;
mod choose;
mod expected;
mod health;
pub mod pace;
mod prefix;
mod prompts;
mod replica_index;

pub use candidate::{Candidate, Load};
pub use choose::{Choice, Options, Policy, Reason, choose};
pub use health::{Health, HealthOptions};
pub use prefix::PrefixCache;
pub use prompts::{Prompt, Prompts};
pub use replica_index::ReplicaIndex;
