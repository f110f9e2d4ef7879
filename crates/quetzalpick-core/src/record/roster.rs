//! Membership: which processes are active, which of them vote, and how they depart.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{Domain, Member, Offset};

/// `Role` is the kind of a process.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Serves callers and holds shares.
    Gate,
    /// Serves operators and may lead placement.
    Keeper,
}

/// `Join` records the start of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// The new member.
    pub member: Member,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: Domain,
    /// IP address and port of its peer listener.
    pub peer_address: String,
}

/// `VoterChange` changes the set of voters by one member.
///
/// Two sets of voters that differ by one member have overlapping majorities. So a change is accepted only if its
/// witnesses are a majority of the present voters and have applied the previous change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterChange {
    /// The member: seated if it is active, unseated if it has departed.
    pub member: Member,
    /// `Roster::voters_changed` as the writer saw it; another value rejects the record.
    #[serde(rename = "seats")]
    pub voters_changed: Offset,
    /// Voters that stated an applied offset at or past `State::voters_changed`.
    #[serde(rename = "witnesses")]
    pub confirmed_by: Vec<Member>,
}

/// `Retire` takes all rights of a suspected member.
///
/// It is appended only when a majority of the voters has applied the suspicion and a lease has passed since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retire {
    /// The suspected member.
    pub member: Member,
    /// Offset of the suspicion; one that was refuted or replaced since rejects the record.
    pub suspected: Offset,
    /// `Roster::voters_changed` during the whole wait; another value rejects the record.
    #[serde(rename = "seats")]
    pub voters_changed: Offset,
    /// Voters that stated an applied offset past the suspicion.
    #[serde(rename = "witnesses")]
    pub confirmed_by: Vec<Member>,
}
