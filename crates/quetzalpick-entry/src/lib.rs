//! Serves callers by a published configuration: routes, keys, forwarding, streams and placement.
//!
//! One process on each VM does it all. What it must agree on with the others goes through topics of a log service; how
//! requests, answers, topics and endpoints look on the wire is left to the traits in [`wire`] and to those of
//! `quetzalpick-client`.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod clock;
pub mod config;
mod entry;
pub mod errors;
mod exchange;
pub mod fleet;
mod lead;
pub mod metadata;
mod meters;
mod options;
pub mod place;
mod rate;
mod reload;
mod serve;
pub mod settings;
mod view;
pub mod wire;

pub use entry::{Entry, Listeners, Platform};
pub use options::{Options, Retries};
pub use reload::Changes;
