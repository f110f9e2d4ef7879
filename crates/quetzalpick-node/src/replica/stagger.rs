//! Random delays of duties that all processes share, so that one of them usually does the work.

use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::table::Table;

/// `Duty` is something that any process may do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Duty {
    /// Suspecting a silent member.
    Suspect(Member),
    /// Retiring a member under the suspicion at this offset.
    Retire(Member, Offset),
    /// Changing the voters by this member, after the change at this offset.
    ChangeVoters(Member, Offset),
    /// Dropping the claims before this offset.
    Expire(Offset),
    /// Publishing a snapshot later than the one at this offset.
    Publish(Offset),
}

/// `Stagger` holds the times from which duties may be done.
#[derive(Debug, Default)]
pub(crate) struct Stagger {
    due: Table<Duty, (u64, u64)>,
}

impl Stagger {
    /// Tells whether a duty may be done at `now`; the first time that it is asked for draws its delay, in ms.
    pub(crate) fn is_due(&mut self, now: u64, duty: &Duty, delay: impl FnOnce() -> u64) -> bool {
        let row = self
            .due
            .get_or_insert_with(duty.clone(), || (now + delay(), now));
        row.1 = now;
        row.0 <= now
    }

    /// Returns the next time at which a duty may be done, in ms.
    pub(crate) fn next_due(&self) -> Option<u64> {
        self.due.values().map(|(due, _)| *due).min()
    }

    /// Forgets the delays of duties that were not asked for at `now`.
    pub(crate) fn prune(&mut self, now: u64) {
        self.due.retain(|_, (_, asked)| *asked >= now);
    }

    /// Forgets the delay of a duty that was tried.
    pub(crate) fn done(&mut self, duty: &Duty) {
        self.due.remove(duty);
    }
}
