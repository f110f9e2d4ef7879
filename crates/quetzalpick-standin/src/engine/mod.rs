//! Stand-in for a model engine.
//!
//! It answers the calls of `quetzalpick_client::wire::engine` with tokens that depend only on the prompt, see `token`.
//! Admin calls are `POST /admin/leaving` with `{"leaving": true}`, `POST /admin/restart` with `{}` (new incarnation,
//! empty memory, all running requests aborted) and `GET /admin/record`, which returns `Record`.

mod batch;
mod cache;
mod completion;
mod copy_use;
mod memory;
mod options;
mod order;
mod pace;
mod record;
mod server;
mod session;
mod stream;

pub mod token;

pub use options::Options;
pub use record::{Overcommit, Record};
pub use server::Server;
