//! Bodies of the calls to external systems, in JSON unless stated otherwise.

pub mod completion;
pub mod engine;
pub mod log;
pub mod vms;
