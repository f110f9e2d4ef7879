//! Stand-in for the platform: log service, VM list and weight store.
//!
//! In addition to the calls of `quetzalpick_client::wire`, the weight store accepts `POST /weights/fetch` and
//! `POST /weights/adapter` with `weights::Fetch` and answers when the weights are loaded. Admin calls are
//! `POST /admin/vms` with `vms::Change`, `POST /admin/retention` with `server::Retention` and
//! `GET /admin/record`, which returns `Record`.

pub mod vms;
pub mod weights;

mod log;
mod server;

pub use server::{Options, Record, Retention, Server};
