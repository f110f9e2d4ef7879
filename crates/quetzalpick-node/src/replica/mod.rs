//! The replica: this process's copy of the replicated state, its lease and its writes.

mod answer;
mod clock;
mod exchange;
mod folded;
mod follower;
mod handle;
mod jitter;
mod membership;
mod monitor;
mod options;
mod peer_reports;
mod publisher;
mod recent;
mod service;
mod shared;
mod silence;
mod submit;
mod voters;
mod writer;
mod writes;

pub use answer::{Answer, NoLease, Peer};
pub use handle::Replica;
pub use options::{DEFAULT_MAX_VOTERS, Options};
