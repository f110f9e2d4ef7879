//! Domain model and decision logic of quetzalpick, without I/O, clock or runtime.
//!
//! Callers pass in time and randomness, so every decision can be replayed and tested against an oracle.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod admit;
pub mod dispatch;
pub mod election;
pub mod errors;
pub mod evacuation;
pub mod id;
pub mod lease;
pub mod limit;
pub mod link;
pub mod memory;
pub mod payload;
pub mod plan;
pub mod quarantine;
pub mod quorum;
pub mod quota;
pub mod rate;
pub mod record;
pub mod relay;
pub mod retry;
pub mod room;
pub mod route;
pub mod state;
pub mod table;
pub mod verdict;
