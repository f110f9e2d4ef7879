//! In-memory fakes of the outside systems, with switches for faults, for tests of all crates.

mod hub;
mod log;
mod topics;

pub use log::Log;
pub use topics::Topics;
