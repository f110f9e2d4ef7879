//! Bodies of the calls to outside systems, in JSON unless stated otherwise.

pub mod engine;
pub mod log;
pub mod vms;
