//! Maintenance of the voter set: departed members are replaced, one at a time.

use quetzalpick_core::id::{Domain, Member};
use quetzalpick_core::record::{Record, VoterChange};
use quetzalpick_core::state::State;

use crate::replica::jitter::Action;
use crate::replica::shared::{Shared, lock};

impl<L, T> Shared<L, T> {
    /// Returns the next voter change: departed voters are removed before new ones are added.
    pub(crate) fn voter_change(
        &self,
        state: &State,
        silent: &[Member],
    ) -> Option<(Action, Record)> {
        let roster = state.roster();
        let departed = roster.voters().iter().find(|m| !roster.is_active(m));
        let member = departed.or_else(|| next_voter(state, silent, self.options.voters))?;
        let voters_changed = roster.voters_changed();
        let confirmed_by = lock(&self.quorum).majority(state, voters_changed)?.members;
        let action = Action::ChangeVoters(member.clone(), voters_changed);
        let change = VoterChange {
            member: member.clone(),
            voters_changed,
            confirmed_by,
        };
        Some((action, Record::ChangeVoters(change)))
    }
}

/// Returns the responsive non-voter to add next, from the failure domain with the fewest voters.
fn next_voter<'a>(state: &'a State, silent: &[Member], max_voters: usize) -> Option<&'a Member> {
    let roster = state.roster();
    if roster.voters().len() >= max_voters {
        return None;
    }
    let domain_of = |voter: &Member| roster.members().get(voter).map(|row| &row.domain);
    let voters_in = |domain: &Domain| {
        let voters = roster.voters().iter();
        voters
            .filter(|voter| domain_of(voter) == Some(domain))
            .count()
    };
    let is_eligible =
        |member: &Member| !roster.is_voter(member) && silent.binary_search(member).is_err();
    let members = roster.members().iter();
    let eligible = members.filter(|(m, row)| row.suspected.is_none() && is_eligible(m));
    let next = eligible.min_by_key(|(_, row)| (voters_in(&row.domain), row.joined));
    next.map(|(member, _)| member)
}
