//! What the HTTP listeners of all processes have in common.

pub mod admin;
pub mod body;
pub mod server;
