//! The keeper against a log in memory and engine stand-ins.

mod placement;
mod session;
mod settings;
mod world;
