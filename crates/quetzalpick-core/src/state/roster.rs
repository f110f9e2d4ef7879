//! The roster: active members, voters and suspicions.

use serde::{Deserialize, Serialize};

use crate::id::{Domain, Member, Offset};
use crate::record::Role;
use crate::table::Table;

/// `Membership` is what the roster knows of one active member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: Domain,
    /// IP address and port of its peer listener.
    pub peer_address: String,
    /// Offset of its start.
    pub joined: Offset,
    /// Offset of the suspicion that stands against it.
    pub suspected: Option<Offset>,
}

/// `Roster` is the aggregate of membership.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Active members.
    pub(crate) members: Table<Member, Membership>,
    /// Voters, sorted; a departed member votes until it is unseated.
    pub(crate) voters: Vec<Member>,
    /// Offset after the last change of the voters.
    pub(crate) seats_changed: Offset,
}

impl Roster {
    /// Returns the active members.
    pub fn members(&self) -> &Table<Member, Membership> {
        &self.members
    }

    /// Returns the voters, sorted.
    pub fn voters(&self) -> &[Member] {
        &self.voters
    }

    /// Returns the offset that a witness of the next seat change must have applied up to.
    pub fn seats_changed(&self) -> Offset {
        self.seats_changed
    }

    /// Tells whether a member is active: joined, and neither retired nor departed.
    pub fn is_active(&self, member: &Member) -> bool {
        self.members.contains(member)
    }

    /// Tells whether a member votes.
    pub fn is_voter(&self, member: &Member) -> bool {
        self.voters.binary_search(member).is_ok()
    }
}
