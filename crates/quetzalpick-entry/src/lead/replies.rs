//! The leader's replies to the statuses of the VMs.

use quetzalpick_core::id::Vm;
use quetzalpick_node::peer::Blob;

use crate::exchange::{CopiesVersion, Status, StatusReply, ViewRelay};
use crate::lead::Leadership;
use crate::sync::lock;

/// Number of other VMs whose addresses a VM receives.
const PEER_SAMPLE: usize = 8;

impl<N> Leadership<N> {
    /// Records a VM's status and returns the reply.
    pub(crate) fn answer_status(&self, status: Status) -> StatusReply {
        let now_ms = self.clock.now_ms();
        self.fleet.learn_limits(now_ms, &status.limits);
        for departure in &status.departures {
            self.fleet
                .record_departure(&departure.endpoint, departure.started_ms);
        }
        let known_copies = CopiesVersion {
            fence: status.fence,
            version: status.copies_version,
        };
        let state = self.with_leader_state(|state, now_ms| {
            state
                .rooms
                .apply_status(now_ms, &status.vm, &status.rooms, &status.loads);
            let known_paces = if status.fence == state.fence {
                status.paces_version
            } else {
                0
            };
            state.paces.record(now_ms, &self.fleet, &status.observed);
            let paces = state.paces.changes_since(known_paces);
            (
                state.fence,
                state.copy_index.changes_since(known_copies),
                paces,
            )
        });
        let Some((fence, copies, paces)) = state else {
            return StatusReply::default();
        };
        let same_term = status.fence == fence;
        let known_endpoints = if same_term {
            status.endpoints_version
        } else {
            0
        };
        let quarantine = self.investigate(&status);
        let listed_members = self.member_count();
        // At least these share what is divided; VMs of former versions take the number for that of all.
        let heard = || self.with_statuses(|statuses, _| statuses.count());
        let (loads, prompts) =
            self.with_statuses(|statuses, now_ms| statuses.loads_of_others(now_ms, &status.vm));
        let reply = StatusReply {
            heartbeat: self.with_election(|election, now_ms| election.heartbeat(now_ms)),
            fence,
            loads,
            prompts,
            paces,
            copies,
            view: self.relay_view(now_ms, &status),
            endpoints: self.fleet.relay(now_ms, known_endpoints),
            members: listed_members.unwrap_or_else(heard) as u64,
            members_unread: listed_members.is_none(),
            peers: self
                .with_statuses(|statuses, _| statuses.sample_addresses(&status.vm, PEER_SAMPLE)),
            listed: self.is_listed(&status.vm),
            deputy: self.with_statuses(|statuses, _| statuses.first_address(&self.me.vm)),
            endpoints_age_ms: self.fleet.read_age_ms(now_ms),
            suspects: quarantine.suspects,
            quarantine: quarantine.update,
        };
        self.with_statuses(|statuses, now_ms| statuses.record(now_ms, status));
        reply
    }

    /// Returns what a VM is told of the configuration; `None` while own reads fail.
    fn relay_view(&self, now_ms: u64, status: &Status) -> Option<ViewRelay> {
        let newest = self.view.newest(now_ms)?;
        let mut relay = ViewRelay {
            record: None,
            age_ms: newest.age_ms,
            change: None,
            needs_read: false,
            next: newest.next.map(|next| next.offset),
            era: newest.next.map(|next| next.era),
            evacuated: Some(newest.evacuated),
        };
        let known = status.config_version;
        if newest.version <= known {
            return Some(relay);
        }
        if status.accepts_changes {
            let change = self.with_leader_state(|state, _| {
                state.changes.since(known, newest.version, &newest.record)
            });
            relay.change = change?;
            relay.needs_read = relay.change.is_none();
        } else {
            relay.record = Some(Blob(newest.record));
        }
        Some(relay)
    }

    /// Returns whether a VM is in the list of members; `None` if this VM hasn't read the list while it leads.
    fn is_listed(&self, vm: &Vm) -> Option<bool> {
        let listed = lock(&self.member_list);
        listed.as_ref().map(|listed| listed.contains(vm))
    }
}
