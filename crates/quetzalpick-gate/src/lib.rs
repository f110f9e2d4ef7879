//! The gate: keys, limits, admission, routing, retries, streams and at-most-once calls.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod admission;
mod api;
mod claim;
mod clock;
mod config_status;
mod context;
mod demand;
pub mod errors;
mod fleet;
mod gate;
mod meters;
mod options;
mod run;
mod serve;
pub mod settings;
mod share;

pub use gate::{Gate, Listeners, Platform};
pub use options::Options;
pub use run::run;
pub use settings::Settings;
