//! Current configuration, and validation of its changes.

mod artifact;
mod change;
mod config;
mod endpoint;
mod key;
mod path;
mod service;
mod workspace;

pub use config::{Catalog, Target};
pub(crate) use endpoint::check_address;
pub use path::is_plain;
