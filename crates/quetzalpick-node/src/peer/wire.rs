//! Bodies of the calls between peers, in MessagePack.

use quetzalpick_core::id::{Domain, Member, Offset};
use quetzalpick_core::record::Role;
use serde::{Deserialize, Serialize};

use crate::peer::Blob;

/// `Statement` is what a member states of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The member.
    pub member: Member,
    /// First offset that it has not applied.
    pub applied: Offset,
    /// Digest of everything that it has applied.
    pub digest: [u8; 32],
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
