//! Applies the results of reads and appends.

use super::Election;
use crate::election::log_state::LogState;
use crate::election::term::Term;
use crate::election::{Appended, Claim, Tail};
use crate::id::Offset;

/// A failed renewal is retried after the renewal interval divided by this number.
const RETRY_DIVISOR: u64 = 4;

impl Election {
    /// Applies the result of a read sent at `sent_ms`.
    pub fn record_read(&mut self, sent_ms: u64, now_ms: u64, tail: Tail) {
        self.next_read_ms = now_ms + self.options.read_ms;
        if std::mem::take(&mut self.read_failing) {
            self.reads_recovered_ms = now_ms;
        }
        if self.resolve_append(&tail) {
            return;
        }
        let former = self.log_state.take();
        let unchanged = former.filter(|log_state| log_state.end == tail.end);
        let log_state = unchanged.unwrap_or(LogState {
            end: tail.end,
            newest: tail.newest,
            since_ms: now_ms,
            read_ms: None,
        });
        let log_state = LogState {
            read_ms: Some(now_ms),
            ..log_state
        };
        if let Some((offset, claim)) = &log_state.newest
            && claim.candidate == self.me
            && claim.resigned_after_ms.is_none()
        {
            // An earlier claim whose answer was lost took effect; no other VM has claimed up to this read.
            self.term = Some(Term {
                first: claim.term.unwrap_or(*offset),
                renewed_ms: sent_ms,
                acts_from_ms: now_ms + self.options.lease_ms + self.options.handover_ms,
                end: log_state.end,
                unresolved_append_ms: None,
                next_renewal_ms: now_ms,
            });
        }
        self.log_state = Some(log_state);
    }

    /// Resolves a renewal with an unknown outcome from a read; returns true if the own term continues.
    fn resolve_append(&mut self, tail: &Tail) -> bool {
        let Some(term) = &mut self.term else {
            return false;
        };
        let is_own = |(_, claim): &(Offset, Claim)| claim.candidate == self.me;
        let continues = match &tail.newest {
            None => tail.end == term.end,
            Some(newest) => is_own(newest),
        };
        if !continues {
            self.term = None;
            self.log_state = None;
            return false;
        }
        if tail.newest.is_some() {
            term.renewed_ms = term
                .unresolved_append_ms
                .unwrap_or(term.renewed_ms)
                .max(term.renewed_ms);
        }
        term.end = tail.end;
        term.unresolved_append_ms = None;
        true
    }

    /// Records a failed read.
    pub fn record_read_failure(&mut self, now_ms: u64) {
        self.read_failing = true;
        self.next_read_ms = now_ms + self.options.read_ms;
    }

    /// Applies the result of an append sent at `sent_ms`.
    pub fn record_append(&mut self, sent_ms: u64, now_ms: u64, result: Appended) {
        let renew_ms = self.options.renew_ms;
        let Some(term) = &mut self.term else {
            return self.record_claim_result(sent_ms, now_ms, result);
        };
        match result {
            Appended::At(offset) => {
                term.renewed_ms = sent_ms;
                term.end = Offset(offset.0 + 1);
                term.next_renewal_ms = sent_ms + renew_ms;
            }
            // Only a read shows whether this record or another one was appended.
            Appended::Conflict | Appended::Unknown => {
                term.unresolved_append_ms = Some(sent_ms);
                self.next_read_ms = now_ms;
            }
            Appended::Failed if now_ms < term.renewed_ms + self.options.expiry_ms => {
                term.next_renewal_ms = now_ms + renew_ms / RETRY_DIVISOR;
            }
            Appended::Failed => self.abandon_term(now_ms),
        }
    }

    /// Applies the result of a claim: begins a term, or reads the log again.
    fn record_claim_result(&mut self, sent_ms: u64, now_ms: u64, result: Appended) {
        let Appended::At(offset) = result else {
            return self.abandon_term(now_ms);
        };
        self.term = Some(Term {
            first: offset,
            renewed_ms: sent_ms,
            acts_from_ms: now_ms + self.activation_delay_ms(now_ms),
            end: Offset(offset.0 + 1),
            unresolved_append_ms: None,
            next_renewal_ms: sent_ms + self.options.renew_ms,
        });
    }
}
