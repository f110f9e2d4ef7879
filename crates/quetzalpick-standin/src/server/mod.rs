//! The HTTP server that all stand-ins share.

mod application;
mod listener;
mod reply;
mod socket;

pub(crate) use application::{Application, Call, Leaving, REQUEST_ID, unknown};
pub(crate) use listener::Listener;
pub(crate) use reply::{Broken, Reply, Sender, confirm, error, invalid, json, message_pack, parts};
