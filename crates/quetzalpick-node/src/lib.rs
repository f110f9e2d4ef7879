//! Components shared by the processes of an entry VM: log follower, peer exchange, lease, settings, telemetry and
//! lifecycle.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod errors;
pub mod http;
pub mod lifecycle;
pub mod peer;
pub mod process;
pub mod replica;
pub mod settings;
pub mod telemetry;
