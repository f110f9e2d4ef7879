//! The roster: active members, voters and suspicions.

use serde::{Deserialize, Serialize};

use crate::id::{Domain, Member, Offset, Vm};
use crate::record::{Join, Retire, Role, VoterChange};
use crate::state::catalog::check_address;
use crate::state::outcome::{Reason, conflict, invalid, unknown};
use crate::table::Table;

/// `Membership` holds the role, location and status of one active member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Role of the process.
    pub role: Role,
    /// Failure domain of the process.
    pub domain: Domain,
    /// IP address and port of the peer listener.
    pub peer_address: String,
    /// Offset of the member's `Join` record.
    pub joined: Offset,
    /// Offset of the current suspicion of the member, if any.
    pub suspected: Option<Offset>,
}

/// `Roster` tracks active members, voters and suspicions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Active members.
    pub(crate) members: Table<Member, Membership>,
    /// Voters, sorted; a retired member stays one until a voter change removes it.
    pub(crate) voters: Vec<Member>,
    /// Offset after the record that last changed the voters.
    #[serde(rename = "seats_changed")]
    pub(crate) voters_changed: Offset,
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

    /// Returns the offset up to which the voters that confirm the next voter change must have applied the stream.
    pub fn voters_changed(&self) -> Offset {
        self.voters_changed
    }

    /// Returns whether a member is active: joined, and neither retired nor departed.
    pub fn is_active(&self, member: &Member) -> bool {
        self.members.contains(member)
    }

    /// Returns whether a member is a voter.
    pub fn is_voter(&self, member: &Member) -> bool {
        self.voters.binary_search(member).is_ok()
    }

    /// Iterates over the active gates in order.
    pub fn gates(&self) -> impl Iterator<Item = &Member> {
        let gates = self.members.iter().filter(|(_, m)| m.role == Role::Gate);
        gates.map(|(member, _)| member)
    }

    /// Checks that a member is active.
    pub(crate) fn check_active(&self, member: &Member) -> Result<&Membership, Reason> {
        self.members.get(member).ok_or_else(|| Reason::NotActive {
            member: member.clone(),
        })
    }

    /// Adds a member; the first one becomes a voter at once.
    pub(crate) fn join(&mut self, offset: Offset, join: &Join) -> Result<(), Reason> {
        check_address(&join.peer_address)?;
        if self.members.contains(&join.member) {
            return Err(conflict(format!("{} is active already", join.member)));
        }
        let membership = Membership {
            role: join.role,
            domain: join.domain.clone(),
            peer_address: join.peer_address.clone(),
            joined: offset,
            suspected: None,
        };
        self.members.insert(join.member.clone(), membership);
        self.add_first_voter(offset);
        Ok(())
    }

    /// Makes the member that joined first a voter if there is no voter.
    fn add_first_voter(&mut self, offset: Offset) {
        if !self.voters.is_empty() {
            return;
        }
        let first = self.members.iter().min_by_key(|(_, m)| m.joined);
        if let Some((first, _)) = first {
            self.voters.push(first.clone());
            self.voters_changed = Offset(offset.0 + 1);
        }
    }

    /// Adds an active member to the voters or removes a retired one.
    pub(crate) fn change_voters(
        &mut self,
        offset: Offset,
        change: &VoterChange,
    ) -> Result<(), Reason> {
        self.check_confirmations(change.voters_changed, &change.confirmed_by)?;
        let member = &change.member;
        match (self.is_active(member), self.voters.binary_search(member)) {
            (true, Err(index)) => self.voters.insert(index, member.clone()),
            (false, Ok(index)) => drop(self.voters.remove(index)),
            (true, Ok(_)) => return Err(conflict(format!("{member} votes already"))),
            (false, Err(_)) => {
                return Err(Reason::NotActive {
                    member: member.clone(),
                });
            }
        }
        self.voters_changed = Offset(offset.0 + 1);
        Ok(())
    }

    /// Checks that confirmations were collected under the current voter set and are a majority of it.
    fn check_confirmations(
        &self,
        voters_changed: Offset,
        confirmed_by: &[Member],
    ) -> Result<(), Reason> {
        if voters_changed != self.voters_changed {
            let found = self.voters_changed;
            return Err(conflict(format!("voters changed before {found}")));
        }
        let mut confirming_voters: Vec<&Member> =
            confirmed_by.iter().filter(|m| self.is_voter(m)).collect();
        confirming_voters.sort_unstable();
        confirming_voters.dedup();
        let (found, voters) = (confirming_voters.len(), self.voters.len());
        if found * 2 > voters {
            return Ok(());
        }
        Err(Reason::NoMajority { found, voters })
    }

    /// Records a suspicion of a member that its peers have had no contact with.
    pub(crate) fn suspect(
        &mut self,
        offset: Offset,
        author: &Member,
        member: &Member,
    ) -> Result<(), Reason> {
        if author == member {
            return Err(invalid("a member cannot suspect itself"));
        }
        let former = self.check_active(member)?.suspected;
        if let Some(former) = former {
            return Err(conflict(format!("{member} is suspected at {former}")));
        }
        self.set_suspected(member, Some(offset));
        Ok(())
    }

    /// Clears the suspicion of a member.
    pub(crate) fn refute(&mut self, member: &Member) -> Result<(), Reason> {
        let former = self.check_active(member)?.suspected;
        former.ok_or_else(|| conflict(format!("{member} is not suspected")))?;
        self.set_suspected(member, None);
        Ok(())
    }

    /// Sets or clears the suspicion of a member.
    fn set_suspected(&mut self, member: &Member, suspected: Option<Offset>) {
        if let Some(membership) = self.members.get_mut(member) {
            membership.suspected = suspected;
        }
    }

    /// Checks that a suspicion is current and that a majority of the voters has confirmed it.
    pub(crate) fn check_retire(&self, retire: &Retire) -> Result<(), Reason> {
        let member = &retire.member;
        let membership = self.check_active(member)?;
        if membership.suspected != Some(retire.suspected) {
            let suspected = retire.suspected;
            return Err(conflict(format!(
                "the suspicion of {member} at {suspected} does not stand"
            )));
        }
        self.check_confirmations(retire.voters_changed, &retire.confirmed_by)
    }

    /// Returns the members of a VM that an operator asserts is dead: the suspected ones, or all if there are none.
    ///
    /// A member that has started since under the same name is in contact with its peers and not suspected, so it stays.
    pub(crate) fn dead_members(&self, vm: &Vm) -> Result<Vec<Member>, Reason> {
        let named = self.members.iter().filter(|(member, _)| member.vm == *vm);
        let (suspected, others): (Vec<_>, Vec<_>) =
            named.partition(|(_, membership)| membership.suspected.is_some());
        let dead = if suspected.is_empty() {
            others
        } else {
            suspected
        };
        if dead.is_empty() {
            return Err(unknown("active VM", vm));
        }
        Ok(dead.into_iter().map(|(member, _)| member.clone()).collect())
    }

    /// Removes an active member, and with it all its rights.
    pub(crate) fn remove(&mut self, member: &Member) {
        self.members.remove(member);
    }

    /// Removes voters that no longer send statements because they left or an operator asserted that they are dead.
    ///
    /// No confirmations are needed: any majority of the former voters that can still form overlaps with every
    /// majority of the remaining ones.
    pub(crate) fn remove_voters(&mut self, offset: Offset, departed: &[Member]) {
        let voters = self.voters.len();
        self.voters.retain(|voter| !departed.contains(voter));
        if self.voters.len() == voters {
            return;
        }
        self.voters_changed = Offset(offset.0 + 1);
        self.add_first_voter(offset);
    }
}
