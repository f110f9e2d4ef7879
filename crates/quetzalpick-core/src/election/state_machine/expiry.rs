//! Expiry of the observed leader, after which this VM may claim.

use super::Election;
use crate::election::Claim;
use crate::election::log_state::LogState;
use crate::id::{Offset, Position};

/// Time after a leader's expiry within which a VM without a claim delay has claimed, in ms.
const PEER_CLAIM_MS: u64 = 300;

impl Election {
    /// Returns the position at which to append a claim; `None` while there may be a leader or this VM has to wait.
    pub(super) fn claim_position(&self, now_ms: u64) -> Option<Position> {
        let log_state = self.log_state.as_ref()?;
        let read_ms = log_state.read_ms?;
        let own_expiry_ms = self.own_expiry_ms(log_state);
        // Only a read after the expiry shows whether another VM has claimed.
        let read_after_expiry = read_ms >= own_expiry_ms;
        let has_expired =
            now_ms >= own_expiry_ms && read_after_expiry && !self.has_recent_heartbeat(now_ms);
        let may_claim = match &log_state.newest {
            _ if self.may_have_lost_claims(log_state) => {
                self.lost_term(now_ms).is_some() || has_expired
            }
            None if log_state.end.offset == Offset(0) => {
                now_ms >= log_state.since_ms + self.options.first_claim_delay_ms
            }
            None => has_expired,
            Some((_, claim)) if claim.resigned_after_ms.is_some() => {
                now_ms >= log_state.since_ms + self.claim_delay_ms()
            }
            Some((offset, claim)) => {
                let is_void = self.is_refused(*offset, claim);
                self.is_own_former_incarnation(claim) || is_void || has_expired
            }
        };
        may_claim.then_some(log_state.end)
    }

    /// Returns true if a claim was written by a former incarnation of this VM, which has ended.
    pub(super) fn is_own_former_incarnation(&self, claim: &Claim) -> bool {
        let candidate = &claim.candidate;
        candidate.vm == self.me.vm && candidate.incarnation != self.me.incarnation
    }

    /// Returns when this VM considers the observed leader expired, in ms.
    ///
    /// After an outage of the log every leader has expired. Expiry then counts from the first successful read, so that VMs still
    /// claim in the order of their delays.
    fn own_expiry_ms(&self, log_state: &LogState) -> u64 {
        let expiry_ms = log_state.since_ms + self.options.expiry_ms;
        expiry_ms.max(self.reads_recovered_ms) + self.total_claim_delay_ms()
    }

    /// Returns how long this VM waits after a leader's expiry before it claims, in ms.
    fn total_claim_delay_ms(&self) -> u64 {
        let spread_ms = self.me.incarnation.0 % self.options.stagger_ms.max(1);
        spread_ms + self.claim_delay_ms()
    }

    /// Returns how much later than the VMs that are best suited to lead this one claims, in ms.
    fn claim_delay_ms(&self) -> u64 {
        let unsuited_ms = if self.is_suited {
            0
        } else {
            self.options.unsuited_delay_ms
        };
        self.options.claim_delay_ms + unsuited_ms
    }

    /// Returns the next time at which the leader shown by a read expires, first for VMs without a claim delay and then for this VM,
    /// in ms; `None` if that time has passed or a read after it has been made.
    pub(super) fn next_expiry_ms(&self, now_ms: u64) -> Option<u64> {
        let log_state = self.log_state.as_ref()?;
        let read_ms = log_state.read_ms?;
        let own_ms = self.own_expiry_ms(log_state);
        // A VM with a claim delay first reads whether another VM has claimed before its own claim is due.
        let others_ms = own_ms - self.claim_delay_ms().saturating_sub(PEER_CLAIM_MS);
        let next_expiry_ms = if read_ms < others_ms {
            others_ms
        } else {
            own_ms
        };
        (now_ms < next_expiry_ms && next_expiry_ms > self.next_read_ms).then_some(next_expiry_ms)
    }

    /// Returns whether the leader answered recently enough that it is not considered silent.
    fn has_recent_heartbeat(&self, now_ms: u64) -> bool {
        self.silent_from_ms()
            .is_some_and(|silent_from_ms| now_ms < silent_from_ms)
    }

    /// Returns from when on the leader counts as silent, in ms; `None` if it did not answer last. Where it is asked rarely, one answer
    /// may be late by half of the interval.
    pub(super) fn silent_from_ms(&self) -> Option<u64> {
        let interval_ms = self.heartbeat_interval_ms;
        let silence_ms = self.options.silence_ms.max(interval_ms + interval_ms / 2);
        Some(self.last_heartbeat_ms? + silence_ms)
    }
}
