//! Traits and clients for the external systems that quetzalpick uses: log service, VM list, engines and services.
//!
//! Each external system has one module here, so that another wire format changes nothing elsewhere.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod call;
pub mod engine;
pub mod errors;
pub mod http;
pub mod log;
pub mod memory;
pub mod topic;
pub mod traits;
pub mod vms;
pub mod wire;
