//! Serves many models on fewer accelerators. This crate re-exports the library crates of the Cargo workspace.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub use quetzalpick_client as client;
pub use quetzalpick_core as core;
pub use quetzalpick_language as language;
pub use quetzalpick_node as node;
