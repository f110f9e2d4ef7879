//! Which members have been silent for long.

use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::state::{Membership, State};

use crate::replica::clock::millis;
use crate::replica::contacts::Contacts;
use crate::replica::shared::{Shared, lock};

impl<L, T> Shared<L, T> {
    /// Returns the active members, but for this one, that were silent for the suspicion time or replaced, sorted.
    pub(crate) fn silent(&self, now: u64, state: &State, me: &Member) -> Vec<Member> {
        let limit = self.silence_limit(state);
        let contacts = lock(&self.contacts);
        let rows: Vec<(&Member, &Membership)> = state.roster().members().iter().collect();
        let mut silent = Vec::new();
        // Members are sorted by process first, so that the starts of one process adjoin.
        for starts in rows.chunk_by(|a, b| a.0.vm == b.0.vm) {
            let newest = newest_heard(now, &contacts, starts, limit);
            let is_silent = |(member, row): &&(&Member, &Membership)| {
                let replaced = newest.is_some_and(|newest| row.joined < newest);
                *member != me && (replaced || is_silent(now, &contacts, member, limit))
            };
            let members = starts.iter().filter(is_silent);
            silent.extend(members.map(|(member, _)| (*member).clone()));
        }
        silent
    }

    /// Returns the silence after which a member is suspected, in ms.
    fn silence_limit(&self, state: &State) -> u64 {
        let suspicion = millis(self.options.suspicion);
        let Some(sample) = self.options.exchange_sample else {
            return suspicion;
        };
        // With a sample, one is called by each other member only once in so many exchanges.
        let turns = state.roster().members().len().div_ceil(sample.max(1)) as u64;
        suspicion + turns * 2 * millis(self.options.exchange_interval)
    }
}

/// Returns when the newest start of a process joined that was heard within a time.
fn newest_heard(
    now: u64,
    contacts: &Contacts,
    starts: &[(&Member, &Membership)],
    limit: u64,
) -> Option<Offset> {
    let heard = starts
        .iter()
        .filter(|(member, _)| contacts.is_heard(now, member, limit));
    heard.map(|(_, row)| row.joined).max()
}

/// Tells whether a member has been silent for a time, or half of it if the platform no longer lists its VM.
fn is_silent(now: u64, contacts: &Contacts, member: &Member, limit: u64) -> bool {
    // A VM that the platform no longer lists is most likely gone.
    let parts = if contacts.is_unlisted(member) { 2 } else { 1 };
    contacts.silence(now, member) >= limit / parts
}
