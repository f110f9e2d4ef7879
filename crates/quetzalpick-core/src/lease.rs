//! Leases, which limit how long a member may act on the entries it has applied.
//!
//! Times are milliseconds on the member's own monotonic clock.

use crate::id::{Member, Offset};
use crate::state::State;
use crate::table::Table;

/// `Options` sets the duration of leases; all members use the same values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Duration of a lease, in ms.
    pub lease_ms: u64,
    /// Maximum difference in rate between two monotonic clocks, in percent.
    pub drift_percent: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease_ms: 5_000,
            drift_percent: 1,
        }
    }
}

impl Options {
    /// Returns how long to wait until every lease that has already begun has expired, in ms.
    pub fn wait_ms(&self) -> u64 {
        self.lease_ms + (self.lease_ms * self.drift_percent).div_ceil(100)
    }
}

/// `Watermark` holds an offset and the send time of the call that returned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Watermark {
    sent_at: u64,
    offset: Offset,
}

/// `Watermarks` keeps the newest watermark and the one before it, which the member's applied offset may already cover.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Watermarks {
    newest: Option<Watermark>,
    former: Option<Watermark>,
}

impl Watermarks {
    /// Adds a watermark and keeps the former one until the new offset has been applied.
    fn add(&mut self, watermark: Watermark) {
        match self.newest {
            Some(newest) if newest.sent_at >= watermark.sent_at => {}
            // A newer watermark that requires no higher offset replaces the newest one.
            Some(newest) if newest.offset >= watermark.offset => self.newest = Some(watermark),
            newest => {
                self.former = newest;
                self.newest = Some(watermark);
            }
        }
    }

    /// Returns the newest send time whose offset has been applied.
    fn sent_at(&self, applied: Offset) -> Option<u64> {
        let covered = |watermark: &&Watermark| watermark.offset <= applied;
        let newest = self.newest.as_ref().filter(covered);
        let watermark = newest.or(self.former.as_ref().filter(covered));
        watermark.map(|watermark| watermark.sent_at)
    }
}

/// `Lease` computes until when a member may act on its applied state, from its reads of the log and the statements of voters.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    options: Options,
    reads: Watermarks,
    statements: Table<Member, Watermarks>,
}

impl Lease {
    /// Creates a lease that is not held.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records a read of the log, sent at `sent_at`, that reached its head; `next` is the offset after its last entry.
    pub fn record_head_read(&mut self, sent_at: u64, next: Offset) {
        self.reads.add(Watermark {
            sent_at,
            offset: next,
        });
    }

    /// Records the answer to an exchange sent at `sent_at`: a peer stated `applied`, the first offset that it has not applied.
    pub fn record_statement(&mut self, voter: &Member, sent_at: u64, applied: Offset) {
        let watermarks = self
            .statements
            .get_or_insert_with(voter.clone(), Watermarks::default);
        watermarks.add(Watermark {
            sent_at,
            offset: applied,
        });
    }

    /// Removes statements of members that are no longer voters, which bounds the size of the lease.
    pub fn prune(&mut self, state: &State) {
        let voters = state.roster().voters();
        self.statements
            .retain(|member, _| voters.binary_search(member).is_ok());
    }

    /// Returns the time until which `member` may act on `state`; `None` if it may not act.
    pub fn until(&self, now: u64, state: &State, member: &Member) -> Option<u64> {
        if !is_eligible(state, member) {
            return None;
        }
        let read = self.reads.sent_at(state.next());
        let majority = self.majority_sent_at(now, state, member);
        let sent_at = read.max(majority)?;
        Some(sent_at + self.options.lease_ms)
    }

    /// Returns true if `member` may act on `state` now.
    pub fn holds(&self, now: u64, state: &State, member: &Member) -> bool {
        // While the log can be read, the cost does not depend on the number of voters.
        let read = self.reads.sent_at(state.next());
        if read.is_some_and(|sent_at| now < sent_at + self.options.lease_ms) {
            return is_eligible(state, member);
        }
        self.until(now, state, member)
            .is_some_and(|until| now < until)
    }

    /// Returns the newest send time such that a majority of the voters has answered an exchange sent then or later.
    fn majority_sent_at(&self, now: u64, state: &State, member: &Member) -> Option<u64> {
        let roster = state.roster();
        let sent_at = |voter: &Member| {
            // The member's own applied offset is always current.
            if voter == member {
                return Some(now);
            }
            // Statements of a departed voter are not used, not even those made before its departure.
            let active = roster.is_active(voter);
            let watermarks = self.statements.get(voter).filter(|_| active)?;
            watermarks.sent_at(state.next())
        };
        let mut times: Vec<u64> = roster.voters().iter().filter_map(sent_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let majority = roster.voters().len() / 2 + 1;
        times.get(majority - 1).copied()
    }
}

/// Returns true if a member is allowed to hold a lease.
///
/// A suspected member is not, so that other members need not wait for its lease once they have applied the suspicion.
fn is_eligible(state: &State, member: &Member) -> bool {
    let membership = state.roster().members().get(member);
    membership.is_some_and(|membership| membership.suspected.is_none())
}
