//! HTTP listeners, shared by all processes.

pub mod admin;
pub mod body;
pub mod server;
