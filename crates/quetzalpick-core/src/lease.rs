//! The lease: for how long a member may act on what it has applied.
//!
//! Times are milliseconds on the member's own monotonic clock.

use crate::id::{Member, Offset};
use crate::state::State;
use crate::table::Table;

/// `Options` sets the length of leases; all members use the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Length of a lease, in ms.
    pub lease_ms: u64,
    /// Most that two monotonic clocks differ in speed, in percent.
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
    /// Returns how long to wait until every lease that began before has ended, in ms.
    pub fn wait_ms(&self) -> u64 {
        self.lease_ms + (self.lease_ms * self.drift_percent).div_ceil(100)
    }
}

/// `Mark` is an offset and the send time of the call that showed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Mark {
    sent_at: u64,
    offset: Offset,
}

/// `Marks` keeps the newest mark and the newest that was covered by the member's own applied offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Marks {
    newest: Option<Mark>,
    former: Option<Mark>,
}

impl Marks {
    /// Adds a mark, keeping the former one in case the new one's offset is not applied for a while.
    fn add(&mut self, mark: Mark) {
        match self.newest {
            Some(newest) if newest.sent_at >= mark.sent_at => {}
            // A newer mark that asks for no more than the newest one replaces it.
            Some(newest) if newest.offset >= mark.offset => self.newest = Some(mark),
            newest => {
                self.former = newest;
                self.newest = Some(mark);
            }
        }
    }

    /// Returns the newest send time whose offset has been applied.
    fn sent_at(&self, applied: Offset) -> Option<u64> {
        let covered = |mark: &&Mark| mark.offset <= applied;
        let newest = self.newest.as_ref().filter(covered);
        let mark = newest.or(self.former.as_ref().filter(covered));
        mark.map(|mark| mark.sent_at)
    }
}

/// `Lease` collects what entitles a member to act on its view, and tells until when.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    options: Options,
    reads: Marks,
    statements: Table<Member, Marks>,
}

impl Lease {
    /// Creates a lease that is not held yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Notes a read of the log, sent at `sent_at`, that reached the head; `through` is the offset after its last entry.
    pub fn read_head(&mut self, sent_at: u64, through: Offset) {
        self.reads.add(Mark {
            sent_at,
            offset: through,
        });
    }

    /// Notes the answer to an exchange sent at `sent_at`: a peer stated that the first offset it has not applied is
    /// `applied`.
    pub fn statement(&mut self, voter: &Member, sent_at: u64, applied: Offset) {
        let marks = self
            .statements
            .get_or_insert_with(voter.clone(), Marks::default);
        marks.add(Mark {
            sent_at,
            offset: applied,
        });
    }

    /// Forgets statements of members that vote no longer, so that the lease stays small.
    pub fn prune(&mut self, state: &State) {
        let voters = state.roster().voters();
        self.statements
            .retain(|member, _| voters.binary_search(member).is_ok());
    }

    /// Returns the time until which `member` may act on `state`, or `None` if it may not at all.
    pub fn until(&self, now: u64, state: &State, member: &Member) -> Option<u64> {
        if !may_hold(state, member) {
            return None;
        }
        let read = self.reads.sent_at(state.next());
        let majority = self.majority_sent_at(now, state, member);
        let sent_at = read.max(majority)?;
        Some(sent_at + self.options.lease_ms)
    }

    /// Tells whether `member` may act on `state` now.
    pub fn holds(&self, now: u64, state: &State, member: &Member) -> bool {
        // While the log can be read, nothing that grows with the number of voters needs to be looked at.
        let read = self.reads.sent_at(state.next());
        if read.is_some_and(|sent_at| now < sent_at + self.options.lease_ms) {
            return may_hold(state, member);
        }
        self.until(now, state, member)
            .is_some_and(|until| now < until)
    }

    /// Returns the newest time since which a majority of the voters has answered.
    fn majority_sent_at(&self, now: u64, state: &State, member: &Member) -> Option<u64> {
        let roster = state.roster();
        let sent_at = |voter: &Member| {
            // The member itself states what it has applied at any time.
            if voter == member {
                return Some(now);
            }
            // A departed voter states nothing; what it stated before its departure is not used either.
            let active = roster.is_active(voter);
            let marks = self.statements.get(voter).filter(|_| active)?;
            marks.sent_at(state.next())
        };
        let mut times: Vec<u64> = roster.voters().iter().filter_map(sent_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let majority = roster.voters().len() / 2 + 1;
        times.get(majority - 1).copied()
    }
}

/// Tells whether a member may hold a lease at all.
///
/// One under suspicion may not, so that nobody has to wait for it after the suspicion is known.
fn may_hold(state: &State, member: &Member) -> bool {
    let membership = state.roster().members().get(member);
    membership.is_some_and(|membership| membership.suspected.is_none())
}
