//! Messages between VMs: periodic statuses and the leader's replies, draws, loans, and requests for adapters.

mod client;
mod codec;
mod forward;
mod message;
mod origins;
mod registrars;
mod requests;
mod rooms;
mod service;

pub(crate) use client::Client;
pub(crate) use codec::{decode, encode};
pub(crate) use forward::Via;
pub(crate) use message::{
    AdapterReply, AdapterRequest, CopiesUpdate, CopiesVersion, DrawRequest, DrawResult,
    EndpointsRelay, PacesUpdate, PermitRequest, PermitResult, RoomUpdate, Status, StatusReply,
    ViewRelay,
};
pub(crate) use registrars::Registrars;
pub(crate) use service::PeerHandler;
