//! Leadership of this VM: when it may act, its heartbeats and its resignation.

use super::Election;
use crate::election::{Claim, Heartbeat};
use crate::id::Position;

impl Election {
    /// Returns the heartbeat of this VM's own term; `None` if it does not lead.
    pub fn heartbeat(&self, now_ms: u64) -> Option<Heartbeat> {
        let term = self.term.as_ref()?;
        Some(Heartbeat {
            leader: self.me.clone(),
            end: term.end.offset,
            age_ms: now_ms.saturating_sub(term.renewed_ms),
            numbering: Some(term.numbering),
        })
    }

    /// Records an action of this leader, such as an order, at its send time.
    pub fn record_action(&mut self, now_ms: u64) {
        self.last_action_ms = self.last_action_ms.max(Some(now_ms));
    }

    /// Abandons the own leadership, for instance before a planned stop.
    pub fn resign(&mut self, now_ms: u64) {
        self.abandon_term(now_ms);
    }

    /// Abandons the own leadership because an endpoint has received a higher fencing number than `fence`, which is not used again.
    pub fn record_refusal(&mut self, now_ms: u64, fence: u64) {
        self.refused = self.refused.max(Some(fence));
        self.abandon_term(now_ms);
    }

    /// Abandons the own term and schedules an immediate read of the log.
    pub(super) fn abandon_term(&mut self, now_ms: u64) {
        self.term = None;
        self.last_heartbeat_ms = None;
        self.log_state = None;
        self.next_read_ms = now_ms;
    }

    /// Returns the record that announces a planned resignation and the end of the log; `None` without a term.
    pub fn resignation(&self, now_ms: u64) -> Option<(Claim, Position)> {
        let term = self.term.as_ref()?;
        let last_action_ms = self.last_action_ms.unwrap_or_default();
        let since_ms = now_ms.saturating_sub(last_action_ms);
        let claim = Claim {
            resigned_after_ms: Some(since_ms),
            ..self.renewal(now_ms, term)
        };
        Some((claim, term.end))
    }

    /// Returns the fencing number for this VM's actions; `None` if it may not act now.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let acts = self.term.as_ref()?.acts_from_ms <= now_ms;
        self.leads(now_ms).filter(|_| acts)
    }

    /// Returns the fencing number of the own term while no other VM can lead; this VM may still have to wait before it acts.
    pub fn leads(&self, now_ms: u64) -> Option<u64> {
        let term = self.term.as_ref()?;
        let is_valid = now_ms < term.renewed_ms + self.options.lease_ms;
        is_valid.then(|| term.numbering.fence(term.first))
    }

    /// Returns how long a new leader waits until `handover_ms` have passed since the former leader's last possible action, in ms.
    pub(super) fn activation_delay_ms(&self, now_ms: u64) -> u64 {
        if let Some(term) = self.lost_term(now_ms) {
            return term.acts_from_ms.saturating_sub(now_ms);
        }
        let Some(log_state) = &self.log_state else {
            return self.options.lease_ms + self.options.handover_ms;
        };
        let lease_ends_ms = log_state.since_ms + self.options.lease_ms;
        let last_action_ms = match &log_state.newest {
            _ if self.may_have_lost_claims(log_state) => lease_ends_ms,
            None => return 0,
            Some((_, claim)) if self.is_own_former_incarnation(claim) => return claim.acts_in_ms,
            Some((_, claim)) => match claim.resigned_after_ms {
                Some(after_ms) => log_state.since_ms.saturating_sub(after_ms),
                None => lease_ends_ms,
            },
        };
        let wait_ms = (last_action_ms + self.options.handover_ms).saturating_sub(now_ms);
        // The former leader may itself still be waiting for its predecessor.
        let newest = log_state.newest.as_ref();
        wait_ms.max(newest.map_or(0, |(_, claim)| claim.acts_in_ms))
    }
}
