//! Serves callers according to a published configuration: routes, keys, forwarding, streams and placement.
//!
//! Each VM runs one process, which coordinates with the others through topics of a log service. The wire formats of
//! requests, answers, topics and endpoints are defined by implementations of the traits in [`wire`] and in
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
mod link;
pub mod metadata;
mod meters;
mod options;
pub mod origin;
pub mod place;
mod quarantine;
mod rate;
mod reload;
mod serve;
pub mod settings;
mod sync;
mod view;
pub mod wire;

pub use entry::{Entry, Listeners, Platform};
pub use options::{Options, Retries};
pub use reload::Changes;
