//! Tracks which voters have applied a record and since when they form a majority.
//!
//! Times are milliseconds on the observing member's own monotonic clock.

use std::collections::VecDeque;

use crate::id::{Member, Offset};
use crate::lease::Options;
use crate::state::State;
use crate::table::Table;

/// Number of statements kept for each member; dropping older ones can only lengthen a wait.
const STATEMENTS_KEPT: usize = 256;

/// `Majority` lists the voters that have applied a record once they form a majority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Majority {
    /// All voters that have stated that they applied the record, sorted.
    pub members: Vec<Member>,
    /// When the observer first had statements of a majority of the current voters, in ms.
    pub since_ms: u64,
}

/// `Tracker` stores the applied offsets stated by each member and when they were received.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    statements: Table<Member, VecDeque<(Offset, u64)>>,
    voters_changed: Offset,
    voters_changed_ms: u64,
}

impl Tracker {
    /// Detects a change of the voters; must be called after entries were applied and before any query.
    pub fn update_voters(&mut self, now: u64, state: &State) {
        let voters_changed = state.roster().voters_changed();
        if voters_changed == self.voters_changed {
            return;
        }
        self.voters_changed = voters_changed;
        self.voters_changed_ms = now;
        // Statements of members that are neither voters nor active are no longer used.
        let roster = state.roster();
        self.statements
            .retain(|member, _| roster.is_active(member) || roster.is_voter(member));
    }

    /// Records that at `now` a member, or the observer itself, stated `applied`, the first offset that it has not applied.
    pub fn record(&mut self, member: &Member, applied: Offset, now: u64) {
        let statements = self
            .statements
            .get_or_insert_with(member.clone(), VecDeque::new);
        let is_stale = statements
            .back()
            .is_some_and(|(offset, _)| *offset >= applied);
        if is_stale {
            return;
        }
        if statements.len() == STATEMENTS_KEPT {
            statements.pop_front();
        }
        statements.push_back((applied, now));
    }

    /// Returns the voters that have stated an applied offset of at least `applied`, if they form a majority.
    pub fn majority(&self, state: &State, applied: Offset) -> Option<Majority> {
        let roster = state.roster();
        let since_ms = |voter: &Member| {
            // Statements of a departed voter do not count.
            let active = roster.is_active(voter);
            let statements = self.statements.get(voter).filter(|_| active)?;
            let first = statements.partition_point(|(offset, _)| *offset < applied);
            statements.get(first).map(|(_, received_ms)| *received_ms)
        };
        let voters = roster.voters();
        let rows = voters
            .iter()
            .filter_map(|v| Some((v.clone(), since_ms(v)?)));
        let (members, mut times): (Vec<Member>, Vec<u64>) = rows.unzip();
        times.sort_unstable();
        let needed = voters.len() / 2 + 1;
        // A change of the voters restarts the wait because leases granted by the former voters may still be valid.
        let since_ms = times.get(needed - 1)?.max(&self.voters_changed_ms);
        Some(Majority {
            members,
            since_ms: *since_ms,
        })
    }

    /// Returns the confirming voters once the revocation of a right by the entry before `applied` is complete: a majority has
    /// applied the entry, and every lease of a member that has not applied it has expired.
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
