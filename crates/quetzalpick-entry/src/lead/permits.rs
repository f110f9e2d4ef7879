//! Permits for endpoints that name a limit or may fall over, which the leader grants to all VMs.

use std::slice;

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::limit::{Limit, Permits};
use quetzalpick_core::room::{Decision, HEARD_MS, Key, Term};

use crate::exchange::{PermitRequest, PermitResult, RoomUpdate};
use crate::fleet::{Notice, RoomSlots};
use crate::lead::Leadership;
use crate::lead::leadership::LeaderState;

/// Longest wait for a permit with few VMs, in ms.
const PERMIT_WAIT_MS: u64 = 500;

/// Shortest time after which a VM should draw again where it found no room, in ms; it draws earlier if a request of its own ends there.
const ROOM_WAIT_MS: u64 = 100;

/// Longest wait for a permit per VM, in ms.
const PERMIT_WAIT_PER_VM_MS: u64 = 5;

impl<N> Leadership<N> {
    /// Draws the permit for one request to an endpoint that names a limit or may fall over.
    pub(crate) fn draw_permit(&self, request: &PermitRequest) -> PermitResult {
        let now_ms = self.clock.now_ms();
        let endpoint = &request.limit.endpoint;
        // The sender may know from this VM that the endpoint is cold, so that this limits its draw and tells nothing new.
        let notice = Notice {
            cold: None,
            ..request.limit.clone()
        };
        self.fleet.learn_limits(now_ms, slice::from_ref(&notice));
        let wait_max_ms = self.permit_wait_max_ms();
        let result = self.with_leader_state(|state, now_ms| {
            // The sender may not know of the evacuation yet.
            if self.fleet.is_evacuated(now_ms, endpoint) {
                return PermitResult::Unavailable(wait_max_ms);
            }
            match self.find_room(state, now_ms, request) {
                Decision::Unsettled => return PermitResult::NotLeading,
                Decision::Full => return PermitResult::Unavailable(self.room_wait_ms()),
                Decision::Free => {}
            }
            if let Some(limit) = self.fleet.limit_after(now_ms, &request.limit) {
                let permits = state.permits(now_ms, endpoint, limit);
                if let Err(wait_ms) = permits.draw(now_ms, limit, request.need, wait_max_ms) {
                    return PermitResult::Unavailable(wait_ms);
                }
            }
            if let Some(draw) = &request.room {
                let key = room_key(request);
                state.rooms.grant(&key, &draw.vm, draw.report.number);
            }
            PermitResult::Granted
        });
        result.unwrap_or(PermitResult::NotLeading)
    }

    /// Decides whether there is room for a request at an endpoint that may fall over; others have room for any number.
    fn find_room(&self, state: &mut LeaderState, now_ms: u64, request: &PermitRequest) -> Decision {
        let Some(draw) = &request.room else {
            return Decision::Free;
        };
        let slots = match self.fleet.room_slots(&request.limit) {
            Some(RoomSlots::Counted(slots)) => slots,
            Some(RoomSlots::Any) => return Decision::Free,
            // An incarnation that the sender got to know first.
            None => return Decision::Full,
        };
        let Some(members) = self.member_count() else {
            return Decision::Unsettled;
        };
        let term = Term {
            since_ms: state.since_ms,
            members: members as u64,
            heard: state.heard,
        };
        let loads = || self.with_statuses(|statuses, _| statuses.loads_at(&request.limit.endpoint));
        let key = room_key(request);
        let draw = (&draw.vm, &draw.report);
        state.rooms.decide(now_ms, &key, slots, &term, draw, loads)
    }

    /// Returns the time after which a VM should draw again where it found no room, in ms.
    fn room_wait_ms(&self) -> u64 {
        ROOM_WAIT_MS.max(PERMIT_WAIT_PER_VM_MS * self.paced_members())
    }

    /// Applies what changed at endpoints that may fall over; returns whether this VM leads.
    pub(crate) fn apply_room_update(&self, update: &RoomUpdate) -> bool {
        let applied = self.with_leader_state(|state, now_ms| {
            for (key, report) in &update.reports {
                state.rooms.apply(now_ms, key, &update.vm, report);
            }
        });
        if applied.is_some() {
            self.fleet.learn_limits(self.clock.now_ms(), &update.limits);
        }
        applied.is_some()
    }

    /// Returns the longest wait for a permit, in ms; it grows with the VMs, so that the leader's work does not.
    fn permit_wait_max_ms(&self) -> u64 {
        PERMIT_WAIT_MS.max(PERMIT_WAIT_PER_VM_MS * self.paced_members())
    }

    /// Returns the number of VMs by which calls to the leader are paced.
    fn paced_members(&self) -> u64 {
        self.member_count().unwrap_or(1) as u64
    }

    /// Charges a call of this VM to an endpoint that may name a limit, as the call is sent in any case. One that is cold counts only the
    /// requests of callers.
    pub(crate) fn charge_permit(&self, endpoint: &Endpoint) {
        if let Some(limit) = self.fleet.limit_of_calls(self.clock.now_ms(), endpoint) {
            self.with_leader_state(|state, now_ms| {
                state.permits(now_ms, endpoint, limit).charge(now_ms, limit);
            });
        }
    }

    /// Drops the permits of endpoints that need none any more, and counts the VMs that report.
    pub(crate) fn update_permits(&self) {
        self.with_leader_state(|state, now_ms| {
            let is_limited = |endpoint: &Endpoint| self.fleet.limit(now_ms, endpoint).is_some();
            state.permits.retain(|endpoint, _| is_limited(endpoint));
            state
                .rooms
                .retain(|key| self.fleet.tolerance(key).is_some());
            let since_ms = state.since_ms.max(now_ms.saturating_sub(HEARD_MS));
            state.heard = self.with_statuses(|statuses, _| statuses.heard_since(since_ms));
        });
    }
}

/// Returns the incarnation of an endpoint for which a permit is requested.
fn room_key(request: &PermitRequest) -> Key {
    (request.limit.endpoint.clone(), request.limit.started_ms)
}

impl LeaderState {
    /// Returns the permits of an endpoint that names a limit or is cold.
    fn permits(&mut self, now_ms: u64, endpoint: &Endpoint, limit: Limit) -> &mut Permits {
        let new_permits = || Permits::new(now_ms, limit);
        self.permits
            .get_or_insert_with(endpoint.clone(), new_permits)
    }
}
