//! Serves many models on fewer accelerators: one import for what the crates of the workspace offer.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub use quetzalpick_client as client;
pub use quetzalpick_core as core;
pub use quetzalpick_language as language;
pub use quetzalpick_node as node;
