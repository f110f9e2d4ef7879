//! Stand-ins for the platform, the engines and the services, with fault switches.
//!
//! Each is a small HTTP server that tests start inside the test process on a free port.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod command;
pub mod engine;
pub mod errors;
pub mod fault;
pub mod platform;
pub mod recorded;
pub mod service;

mod server;
