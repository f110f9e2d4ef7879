//! The stand-in of the platform: log service, VM list and weight store.
//!
//! Besides the calls of `quetzalpick_client::wire`, the weight store takes `POST /weights/fetch` and
//! `POST /weights/adapter` with `weights::Fetch` and answers when the weights are there. The administration takes
//! `POST /admin/vms` with `vms::Change`, `POST /admin/retention` with `server::Retention` and
//! `GET /admin/record`, which answers `Record`.

pub mod vms;
pub mod weights;

mod log;
mod server;

pub use server::{Options, Record, Retention, Server};
