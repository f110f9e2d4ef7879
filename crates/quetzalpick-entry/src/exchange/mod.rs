//! What VMs tell the leader several times a second, and what it answers.

mod client;
mod message;
mod service;

pub(crate) use client::Client;
pub(crate) use message::{
    Copies, Draw, Drawn, EndpointsRelay, Known, Reply, Status, ViewRelay, Want, Wanted,
};
pub(crate) use service::{PeerHandler, decode as decode_claim, encode as encode_claim};
