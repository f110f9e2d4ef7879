//! Permits for endpoints that name a limit, which the leader grants to all VMs.

use std::slice;
use std::sync::atomic::Ordering;

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::limit::{Permits, Rate};

use crate::exchange::{PermitRequest, PermitResult};
use crate::lead::Leadership;
use crate::lead::leadership::LeaderState;

/// Longest wait for a permit with few VMs, in ms.
const PERMIT_WAIT_MS: u64 = 500;

/// Longest wait for a permit per VM, in ms.
const PERMIT_WAIT_PER_VM_MS: u64 = 5;

impl<N> Leadership<N> {
    /// Draws the permit for one request to an endpoint that names a limit.
    pub(crate) fn draw_permit(&self, request: &PermitRequest) -> PermitResult {
        let now_ms = self.clock.now_ms();
        let endpoint = &request.limit.endpoint;
        self.fleet
            .learn_limits(now_ms, slice::from_ref(&request.limit));
        let wait_max_ms = self.permit_wait_max_ms();
        let result = self.with_leader_state(|state, now_ms| {
            let Some(rate) = self.fleet.limit_after(&request.limit) else {
                return PermitResult::Granted;
            };
            let permits = state.permits(now_ms, endpoint, rate);
            match permits.draw(now_ms, rate, request.need, wait_max_ms) {
                Ok(()) => PermitResult::Granted,
                Err(wait_ms) => PermitResult::Unavailable(wait_ms),
            }
        });
        result.unwrap_or(PermitResult::NotLeading)
    }

    /// Returns the longest wait for a permit, in ms; it grows with the VMs, so that the leader's work does not.
    fn permit_wait_max_ms(&self) -> u64 {
        let members = self.member_count.load(Ordering::Relaxed);
        PERMIT_WAIT_MS.max(PERMIT_WAIT_PER_VM_MS * members)
    }

    /// Charges a call of this VM to an endpoint that may name a limit, as the call is sent in any case.
    pub(crate) fn charge_permit(&self, endpoint: &Endpoint) {
        if let Some(rate) = self.fleet.limit(endpoint) {
            self.with_leader_state(|state, now_ms| {
                state.permits(now_ms, endpoint, rate).charge(now_ms, rate);
            });
        }
    }

    /// Drops the permits of endpoints that name no limit any more.
    pub(crate) fn retain_permits(&self) {
        self.with_leader_state(|state, _| {
            let is_limited = |endpoint: &Endpoint| self.fleet.limit(endpoint).is_some();
            state.permits.retain(|endpoint, _| is_limited(endpoint));
        });
    }
}

impl LeaderState {
    /// Returns the permits of an endpoint that names a limit.
    fn permits(&mut self, now_ms: u64, endpoint: &Endpoint, rate: Rate) -> &mut Permits {
        let new_permits = || Permits::new(now_ms, rate);
        self.permits
            .get_or_insert_with(endpoint.clone(), new_permits)
    }
}
