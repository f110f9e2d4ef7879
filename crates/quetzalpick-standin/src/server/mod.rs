//! The HTTP server that all stand-ins share.

mod application;
mod listener;
mod reply;
mod socket;

pub(crate) use application::{Application, Call, REQUEST_ID, unknown};
pub(crate) use listener::Listener;
pub(crate) use reply::{Broken, Reply, Sender, error, json, message_pack, parts};
