//! Applies the results of reads and appends.

use super::Election;
use crate::election::log_state::LogState;
use crate::election::term::Term;
use crate::election::{Appended, Claim, Numbering, Tail};
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
        self.observe_era(tail.end.era);
        if tail.end.era < self.era {
            // The answer is from before a restore of which this VM has heard meanwhile.
            return;
        }
        if self.resolve_append(&tail) {
            return;
        }
        let era = tail.end.era;
        match &tail.newest {
            Some((_, claim)) => {
                self.observe_numbering(claim.numbering.unwrap_or(Numbering::unnamed(era)));
            }
            // A read of the whole log found no claim.
            None if self.log_state.is_none() => self.observe_numbering(Numbering::first(era)),
            None => {}
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
            && let Some(numbering) = claim.numbering
            && numbering.era == log_state.end.era
            && !self.is_refused(*offset, claim)
        {
            // An earlier claim whose answer was lost took effect; no other VM has claimed up to this read.
            self.term = Some(Term {
                first: claim.term.unwrap_or(*offset),
                numbering,
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

    /// Applies the result of an append of a claim that was sent at `sent_ms`.
    pub fn record_append(&mut self, claim: &Claim, sent_ms: u64, now_ms: u64, result: Appended) {
        let renew_ms = self.options.renew_ms;
        let Some(term) = &mut self.term else {
            return self.record_claim_result(claim, sent_ms, now_ms, result);
        };
        match result {
            Appended::At(position) => {
                term.renewed_ms = sent_ms;
                term.end = position.after(1);
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
    fn record_claim_result(&mut self, claim: &Claim, sent_ms: u64, now_ms: u64, result: Appended) {
        let (Appended::At(position), Some(numbering)) = (result, claim.numbering) else {
            return self.abandon_term(now_ms);
        };
        // A renewal of a term that ended meanwhile begins none.
        if position.era != self.era || claim.term.is_some() {
            return self.abandon_term(now_ms);
        }
        self.observe_numbering(numbering);
        self.term = Some(Term {
            first: position.offset,
            numbering,
            renewed_ms: sent_ms,
            acts_from_ms: now_ms + self.activation_delay_ms(now_ms),
            end: position.after(1),
            unresolved_append_ms: None,
            next_renewal_ms: sent_ms + self.options.renew_ms,
        });
    }
}
