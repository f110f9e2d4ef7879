//! Witnesses: which voters have applied a record, and since when they are a majority.
//!
//! Times are milliseconds on the observing member's own monotonic clock.

use std::collections::VecDeque;

use crate::id::{Member, Offset};
use crate::lease::Options;
use crate::state::State;
use crate::table::Table;

/// Statements kept of each member; older ones are forgotten, which can only lengthen a wait.
const STATEMENTS_KEPT: usize = 256;

/// `Majority` is a majority of the voters that has applied a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Majority {
    /// All voters known to have applied the record, sorted.
    pub members: Vec<Member>,
    /// When the observer first knew that they are a majority of the voters in force, in ms.
    pub since: u64,
}

/// `Witness` collects the statements of all members.
#[derive(Debug, Clone, Default)]
pub struct Witness {
    heard: Table<Member, VecDeque<(Offset, u64)>>,
    seats: Offset,
    seats_at: u64,
}

impl Witness {
    /// Notes a change of the voters; to be called after entries were applied and before any question.
    pub fn observe(&mut self, now: u64, state: &State) {
        let seats = state.roster().seats_changed();
        if seats == self.seats {
            return;
        }
        self.seats = seats;
        self.seats_at = now;
        // Statements of members that neither vote nor are active are of no use any more.
        let roster = state.roster();
        self.heard
            .retain(|member, _| roster.is_active(member) || roster.is_voter(member));
    }

    /// Notes that at `now` a member, or the observer itself, stated `applied`, the first offset it has not applied.
    pub fn statement(&mut self, member: &Member, applied: Offset, now: u64) {
        let heard = self.heard.get_or_insert_with(member.clone(), VecDeque::new);
        let known = heard.back().is_some_and(|(offset, _)| *offset >= applied);
        if known {
            return;
        }
        if heard.len() == STATEMENTS_KEPT {
            heard.pop_front();
        }
        heard.push_back((applied, now));
    }

    /// Returns the majority of the voters that has stated an applied offset of at least `applied`.
    pub fn majority(&self, state: &State, applied: Offset) -> Option<Majority> {
        let roster = state.roster();
        let since = |voter: &Member| {
            // A departed voter states nothing.
            let active = roster.is_active(voter);
            let heard = self.heard.get(voter).filter(|_| active)?;
            let first = heard.partition_point(|(offset, _)| *offset < applied);
            heard.get(first).map(|(_, at)| *at)
        };
        let voters = roster.voters();
        let rows = voters.iter().filter_map(|v| Some((v.clone(), since(v)?)));
        let (members, mut times): (Vec<Member>, Vec<u64>) = rows.unzip();
        times.sort_unstable();
        let needed = voters.len() / 2 + 1;
        // A change of the voters starts the time anew, as leases under the former voters may still run.
        let since = times.get(needed - 1)?.max(&self.seats_at);
        Some(Majority {
            members,
            since: *since,
        })
    }

    /// Returns the witnesses once taking a right away by the entry before `applied` is complete: a majority has applied
    /// it and every lease of a member that lacks it has ended.
    pub fn complete(
        &self,
        now: u64,
        state: &State,
        applied: Offset,
        options: &Options,
    ) -> Option<Vec<Member>> {
        let observed = self.seats == state.roster().seats_changed();
        let majority = self.majority(state, applied).filter(|_| observed)?;
        let waited = now.saturating_sub(majority.since);
        (waited > options.wait_ms()).then_some(majority.members)
    }
}
