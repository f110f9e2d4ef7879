//! The replica: this process's copy of the agreed state, its lease and its writes.

mod answer;
mod clock;
mod contacts;
mod exchange;
mod follower;
mod handle;
mod options;
mod presence;
mod publisher;
mod ring;
mod service;
mod shared;
mod silence;
mod stagger;
mod submit;
mod view;
mod voters;
mod watch;
mod writer;
mod writes;

pub use answer::{Answer, NoLease, Peer};
pub use handle::Replica;
pub use options::{Options, VOTERS_MAX};
