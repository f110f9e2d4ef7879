//! Serves callers by a published configuration: routes, keys, forwarding, streams and placement.
//!
//! One process on each VM does it all. What it must agree on with the others goes through topics of a log service; how
//! requests, answers, topics and endpoints look on the wire is left to the traits in [`edge`] and to those of
//! `quetzalpick-client`.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod ask;
pub mod clock;
pub mod config;
pub mod edge;
mod entry;
pub mod errors;
mod exchange;
pub mod fleet;
mod lead;
mod meters;
mod options;
pub mod place;
mod rate;
mod reload;
mod serve;
pub mod settings;
mod view;

pub use entry::{Entry, Listeners, Outside};
pub use options::{Options, Retries};
pub use reload::Changes;
