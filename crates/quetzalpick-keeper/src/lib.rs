//! The keeper: operator API and placement.
//!
//! Membership and snapshots are handled by the replica, in `quetzalpick-node`.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod errors;
mod operator;
mod place;
mod run;
mod settings;

pub use errors::{Error, Result};
pub use operator::{Api, Executor};
pub use place::{Leader, Options as PlaceOptions};
pub use run::run;
pub use settings::Settings;
