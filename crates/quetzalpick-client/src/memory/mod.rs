//! In-memory fakes of the outside systems, with switches for faults, for tests of all crates.

mod log;

pub use log::Log;
