//! Bodies of the calls between peers, in MessagePack.

use bytes::Bytes;
use quetzalpick_client::errors::{Result as CallResult, malformed};
use quetzalpick_core::id::{Domain, Member, Offset};
use quetzalpick_core::record::Role;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::peer::Blob;

/// Paths of the peer listener.
pub(crate) mod path {
    /// Request and answer are an `Exchange`.
    pub(crate) const EXCHANGE: &str = "/peer/exchange";
    /// Request is a `Fetch`, answer is `Entries`.
    pub(crate) const ENTRIES: &str = "/peer/entries";
    /// Answer is a snapshot of the state.
    pub(crate) const STATE: &str = "/peer/state";
    /// Prefix of the application's paths; request is a `Call`.
    pub(crate) const APPLICATION: &str = "/app";
}

/// `Statement` reports how far a member has applied the control stream; leases and quorums rest on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The member.
    pub member: Member,
    /// First offset that it has not applied.
    pub applied: Offset,
    /// Digest of all entries and outcomes before that offset.
    pub digest: u64,
}

/// `Exchange` is the periodic message between two peers, as request and as answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender's statement.
    pub statement: Statement,
    /// The sender's role.
    pub role: Role,
    /// The sender's failure domain.
    pub domain: Domain,
    /// IP address and port of the sender's peer listener.
    pub address: String,
    /// Whether the sender is an active member in its own state; statements of inactive ones are ignored.
    pub active: bool,
    /// Data of the sender's application.
    pub payload: Blob,
}

/// `Fetch` requests entries of the control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Fetch {
    /// Offset of the first entry.
    pub(crate) from: Offset,
}

/// `Entries` is the answer to a `Fetch`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entries {
    /// Consecutive entries, `None` if the first one is no longer kept.
    pub(crate) entries: Option<Vec<Blob>>,
}

/// `Call` carries a call from one application to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Call {
    /// The caller.
    pub(crate) from: Member,
    /// Body, in the application's own encoding.
    pub(crate) body: Blob,
}

/// Encodes a message body.
///
/// # Errors
///
/// `Error::Malformed` if the message cannot be encoded.
pub(crate) fn encode(body: &impl Serialize) -> CallResult<Bytes> {
    let bytes = rmp_serde::to_vec(body).map_err(|error| malformed("own message", error))?;
    Ok(bytes.into())
}

/// Decodes an answer of the peer at an address.
///
/// # Errors
///
/// `Error::Malformed` if the bytes are not a valid message of this type.
pub(crate) fn decode<B: DeserializeOwned>(address: &str, bytes: &[u8]) -> CallResult<B> {
    rmp_serde::from_slice(bytes).map_err(|error| malformed(address, error))
}
