//! Detection of members from which nothing was received for the suspicion time.

use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::state::{Membership, State};

use crate::replica::clock::millis;
use crate::replica::peer_reports::PeerReports;
use crate::replica::shared::{Shared, lock};

impl<L, T> Shared<L, T> {
    /// Returns the other active members, sorted, that were silent for the suspicion time or have a newer incarnation.
    pub(crate) fn silent_members(
        &self,
        now: u64,
        state: &State,
        own_member: &Member,
    ) -> Vec<Member> {
        let limit_ms = self.silence_limit_ms(state);
        let peer_reports = lock(&self.peer_reports);
        let rows: Vec<(&Member, &Membership)> = state.roster().members().iter().collect();
        let mut silent = Vec::new();
        // Members are sorted by process first, so the incarnations of one process are adjacent.
        for incarnations in rows.chunk_by(|a, b| a.0.vm == b.0.vm) {
            let newest = newest_responsive(now, &peer_reports, incarnations, limit_ms);
            let counts_as_silent = |(member, row): &&(&Member, &Membership)| {
                let replaced = newest.is_some_and(|newest| row.joined < newest);
                *member != own_member
                    && (replaced || is_silent(now, &peer_reports, member, limit_ms))
            };
            let members = incarnations.iter().filter(counts_as_silent);
            silent.extend(members.map(|(member, _)| (*member).clone()));
        }
        silent
    }

    /// Returns the time without contact after which a member counts as silent, in ms.
    fn silence_limit_ms(&self, state: &State) -> u64 {
        let suspicion = millis(self.options.suspicion);
        let Some(sample) = self.options.exchange_sample else {
            return suspicion;
        };
        // With sampling, a member is called by each other member only once in `rounds` exchanges.
        let rounds = state.roster().members().len().div_ceil(sample.max(1)) as u64;
        suspicion + rounds * 2 * millis(self.options.exchange_interval)
    }
}

/// Returns the offset at which the newest responsive incarnation of a process joined, if there is one.
fn newest_responsive(
    now: u64,
    peer_reports: &PeerReports,
    incarnations: &[(&Member, &Membership)],
    limit_ms: u64,
) -> Option<Offset> {
    let responsive = incarnations
        .iter()
        .filter(|(member, _)| peer_reports.has_contact_within(now, member, limit_ms));
    responsive.map(|(_, row)| row.joined).max()
}

/// Returns whether a member was silent for `limit_ms`, or for half of it if the platform no longer lists its VM.
fn is_silent(now: u64, peer_reports: &PeerReports, member: &Member, limit_ms: u64) -> bool {
    // A VM that is missing from the platform's list has most likely been removed.
    let divisor = if peer_reports.is_vm_missing(member) {
        2
    } else {
        1
    };
    peer_reports.silence_ms(now, member) >= limit_ms / divisor
}
