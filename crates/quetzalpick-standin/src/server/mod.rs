//! HTTP server shared by all stand-ins.

mod application;
mod listener;
mod reply;
mod socket;

pub(crate) use application::{Application, Call, Leaving, REQUEST_ID, no_such_route};
pub(crate) use listener::Listener;
pub(crate) use reply::{
    BodyAborted, Reply, Sender, confirm, error, invalid, json, message_pack, streamed,
};
