//! Calls between the processes of the system: message bodies, transport trait and HTTP transport.

mod blob;
mod forwarded;
mod http;
mod transport;
mod wire;

pub use blob::Blob;
pub use http::Http;
pub use transport::{Application, Service, Transport};
pub(crate) use wire::{Call, Entries, Fetch, decode, encode, path};
pub use wire::{Exchange, Statement};
