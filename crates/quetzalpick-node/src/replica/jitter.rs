//! Random delays before actions that every process may take, so that usually only one process takes each action.

use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::table::Table;

/// `Action` identifies an action on the shared state that any process may take.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Action {
    /// Suspect a silent member.
    Suspect(Member),
    /// Retire a member on the suspicion at this offset.
    Retire(Member, Offset),
    /// Add this member to the voters or remove it, following the change at this offset.
    ChangeVoters(Member, Offset),
    /// Drop the claims before this offset.
    Expire(Offset),
    /// Publish a snapshot newer than the one that ends at this offset.
    Publish(Offset),
}

/// `Jitter` tracks when each pending action becomes due, after a random delay.
#[derive(Debug, Default)]
pub(crate) struct Jitter {
    /// When each action becomes due and when it was last checked, in ms.
    due: Table<Action, (u64, u64)>,
}

impl Jitter {
    /// Returns whether an action is due at `now`; the first check of an action draws its delay, in ms.
    pub(crate) fn is_due(
        &mut self,
        now: u64,
        action: &Action,
        delay: impl FnOnce() -> u64,
    ) -> bool {
        let row = self
            .due
            .get_or_insert_with(action.clone(), || (now + delay(), now));
        row.1 = now;
        row.0 <= now
    }

    /// Returns when the next action becomes due, in ms.
    pub(crate) fn next_due(&self) -> Option<u64> {
        self.due.values().map(|(due, _)| *due).min()
    }

    /// Drops actions that were not checked at `now`, so that they draw a new delay next time.
    pub(crate) fn prune(&mut self, now: u64) {
        self.due.retain(|_, (_, checked)| *checked >= now);
    }

    /// Drops the delay of an action after an attempt.
    pub(crate) fn reset(&mut self, action: &Action) {
        self.due.remove(action);
    }
}
