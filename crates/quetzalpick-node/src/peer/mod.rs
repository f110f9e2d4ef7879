//! Calls between the system's own processes.

mod blob;
mod transport;
mod wire;

pub use blob::Blob;
pub use transport::{Application, Http, Service, Transport};
pub use wire::{Exchange, Statement};
