//! Confirmations: which voters have applied a record, and since when they are a majority.
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
    pub since_ms: u64,
}

/// `Tracker` collects the statements of all members.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    recorded: Table<Member, VecDeque<(Offset, u64)>>,
    voters_changed: Offset,
    changed_ms: u64,
}

impl Tracker {
    /// Notes a change of the voters; to be called after entries were applied and before any question.
    pub fn update_voters(&mut self, now: u64, state: &State) {
        let voters_changed = state.roster().voters_changed();
        if voters_changed == self.voters_changed {
            return;
        }
        self.voters_changed = voters_changed;
        self.changed_ms = now;
        // Statements of members that neither vote nor are active are of no use any more.
        let roster = state.roster();
        self.recorded
            .retain(|member, _| roster.is_active(member) || roster.is_voter(member));
    }

    /// Notes that at `now` a member, or the observer itself, stated `applied`, the first offset it has not applied.
    pub fn record(&mut self, member: &Member, applied: Offset, now: u64) {
        let recorded = self
            .recorded
            .get_or_insert_with(member.clone(), VecDeque::new);
        let known = recorded
            .back()
            .is_some_and(|(offset, _)| *offset >= applied);
        if known {
            return;
        }
        if recorded.len() == STATEMENTS_KEPT {
            recorded.pop_front();
        }
        recorded.push_back((applied, now));
    }

    /// Returns the majority of the voters that has stated an applied offset of at least `applied`.
    pub fn majority(&self, state: &State, applied: Offset) -> Option<Majority> {
        let roster = state.roster();
        let since_ms = |voter: &Member| {
            // A departed voter states nothing.
            let active = roster.is_active(voter);
            let recorded = self.recorded.get(voter).filter(|_| active)?;
            let first = recorded.partition_point(|(offset, _)| *offset < applied);
            recorded.get(first).map(|(_, at)| *at)
        };
        let voters = roster.voters();
        let rows = voters
            .iter()
            .filter_map(|v| Some((v.clone(), since_ms(v)?)));
        let (members, mut times): (Vec<Member>, Vec<u64>) = rows.unzip();
        times.sort_unstable();
        let needed = voters.len() / 2 + 1;
        // A change of the voters starts the time anew, as leases under the former voters may still run.
        let since_ms = times.get(needed - 1)?.max(&self.changed_ms);
        Some(Majority {
            members,
            since_ms: *since_ms,
        })
    }

    /// Returns the confirmations once taking a right away by the entry before `applied` is complete: a majority has applied
    /// it and every lease of a member that lacks it has ended.
    pub fn confirmed(
        &self,
        now: u64,
        state: &State,
        applied: Offset,
        options: &Options,
    ) -> Option<Vec<Member>> {
        let observed = self.voters_changed == state.roster().voters_changed();
        let majority = self.majority(state, applied).filter(|_| observed)?;
        let waited = now.saturating_sub(majority.since_ms);
        (waited > options.wait_ms()).then_some(majority.members)
    }
}
