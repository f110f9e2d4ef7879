//! The stand-in of a model engine.
//!
//! It answers the calls of `quetzalpick_client::wire::engine` with tokens that depend on nothing but the prompt, see
//! `token`. The administration takes `POST /admin/leaving` with `{"leaving": true}`, `POST /admin/restart` with `{}` (new
//! boot, empty memory, every running request breaks off) and `GET /admin/record`, which answers `Record`.

mod batch;
mod cache;
mod completion;
mod memory;
mod options;
mod order;
mod pace;
mod record;
mod server;
mod session;
mod stream;
mod usage;

pub mod token;

pub use options::Options;
pub use record::{Overcommit, Record};
pub use server::Server;
