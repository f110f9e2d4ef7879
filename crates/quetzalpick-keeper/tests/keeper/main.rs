//! Tests of the keeper against an in-memory log and stand-in engines.

mod environment;
mod placement;
mod session;
mod settings;
