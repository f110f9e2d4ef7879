//! HTTP listeners, shared by all processes.

mod activity;
pub mod admin;
pub mod body;
pub mod server;

pub use quetzalpick_client::http::memory;
