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
    /// Takes an `Exchange` and answers one.
    pub(crate) const EXCHANGE: &str = "/peer/exchange";
    /// Takes a `Fetch` and answers `Entries`.
    pub(crate) const ENTRIES: &str = "/peer/entries";
    /// Answers a snapshot of the state.
    pub(crate) const STATE: &str = "/peer/state";
    /// Begins the paths of the application; takes a `Call`.
    pub(crate) const APPLICATION: &str = "/app";
}

/// `Statement` is what a member states of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The member.
    pub member: Member,
    /// First offset that it has not applied.
    pub applied: Offset,
    /// Digest of everything that it has applied.
    pub digest: u64,
}

/// `Exchange` is what two peers tell each other regularly, as request and as answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender's statement.
    pub statement: Statement,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: Domain,
    /// IP address and port of its peer listener.
    pub address: String,
    /// Whether it is an active member by its own state; another one states nothing that counts.
    pub active: bool,
    /// What its application adds.
    pub payload: Blob,
}

/// `Fetch` asks for entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Fetch {
    /// Offset of the first one.
    pub(crate) from: Offset,
}

/// `Entries` answers a `Fetch`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entries {
    /// Entries in order, `None` if the first one is no longer kept.
    pub(crate) entries: Option<Vec<Blob>>,
}

/// `Call` is a call of a peer's application.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Call {
    /// The caller.
    pub(crate) from: Member,
    /// What the application sends.
    pub(crate) body: Blob,
}

/// Encodes a body.
///
/// # Errors
///
/// `Error::Malformed` if the codec refuses.
pub(crate) fn encode(body: &impl Serialize) -> CallResult<Bytes> {
    let bytes = rmp_serde::to_vec(body).map_err(|error| malformed("own message", error))?;
    Ok(bytes.into())
}

/// Decodes the answer of the peer at an address.
///
/// # Errors
///
/// `Error::Malformed` if the bytes are not what is expected.
pub(crate) fn decode<B: DeserializeOwned>(address: &str, bytes: &[u8]) -> CallResult<B> {
    rmp_serde::from_slice(bytes).map_err(|error| malformed(address, error))
}
