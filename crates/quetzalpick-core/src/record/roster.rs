//! Membership records: joining, voting, and departing processes.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{Domain, Member, Offset};

/// `Role` distinguishes the kinds of processes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Serves callers and holds shares of the workspaces' quotas.
    Gate,
    /// Serves operators and may lead placement.
    Keeper,
}

/// `Join` records the start of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// The new member.
    pub member: Member,
    /// Role of the process.
    pub role: Role,
    /// Failure domain of the process.
    pub domain: Domain,
    /// IP address and port of the peer listener.
    pub peer_address: String,
}

/// `VoterChange` changes the set of voters by one member.
///
/// Two voter sets that differ by one member have overlapping majorities. So a change is accepted only if a majority
/// of the current voters has applied the previous change and confirms this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterChange {
    /// The member: becomes a voter if it is active, stops being one if it has departed.
    pub member: Member,
    /// `Roster::voters_changed` in the writer's state; the record is rejected if the value has changed since.
    #[serde(rename = "seats")]
    pub voters_changed: Offset,
    /// Voters that stated an applied offset at or past `Roster::voters_changed`.
    #[serde(rename = "witnesses")]
    pub confirmed_by: Vec<Member>,
}

/// `Retire` revokes all rights of a suspected member.
///
/// It is appended only after a majority of the voters has applied the suspicion and a lease has expired since then.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retire {
    /// The suspected member.
    pub member: Member,
    /// Offset of the suspicion; the record is rejected if the suspicion was refuted or replaced since.
    pub suspected: Offset,
    /// `Roster::voters_changed` throughout the wait; the record is rejected if the value has changed since.
    #[serde(rename = "seats")]
    pub voters_changed: Offset,
    /// Voters that stated an applied offset past the suspicion.
    #[serde(rename = "witnesses")]
    pub confirmed_by: Vec<Member>,
}
