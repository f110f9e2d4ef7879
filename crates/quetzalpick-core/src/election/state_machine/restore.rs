//! Restores of the log from an older copy, which may lose claims.

use super::Election;
use crate::election::log_state::LogState;
use crate::election::term::LostTerm;
use crate::election::{Claim, Numbering};
use crate::id::{Era, Offset};

impl Election {
    /// Records that the log was restored since this VM last read it: its positions are void, and claims may be lost.
    pub fn record_restore(&mut self, now_ms: u64, era: Era) {
        self.observe_era(era);
        self.abandon_term(now_ms);
    }

    /// Adopts a newer era; the own term, if any, ends, as the log may have lost its records.
    pub(super) fn observe_era(&mut self, era: Era) {
        if era <= self.era {
            return;
        }
        // The first read of all shows in which era the log is, not that it was restored.
        self.saw_restore = self.numbering.is_some();
        self.era = era;
        if let Some(term) = self.term.take() {
            self.lost_term = Some(term.lost(self.options.lease_ms));
        }
        self.log_state = None;
    }

    /// Remembers the newest numbering.
    pub(super) fn observe_numbering(&mut self, numbering: Numbering) {
        self.numbering = self.numbering.max(Some(numbering));
    }

    /// Returns the numbering of this VM's next claim.
    pub(super) fn next_numbering(&self, era: Era) -> Numbering {
        let numbering = self.numbering.unwrap_or(Numbering::first(era)).in_era(era);
        let log_state = self.log_state.as_ref();
        let newest = log_state.and_then(|log_state| log_state.newest.as_ref());
        match newest {
            Some((offset, claim)) if self.is_refused(*offset, claim) => numbering.after_refusal(),
            _ => numbering,
        }
    }

    /// Returns whether an endpoint refused the fencing number of a claim at an offset, which this incarnation made.
    pub(super) fn is_refused(&self, offset: Offset, claim: &Claim) -> bool {
        let first = claim.term.unwrap_or(offset);
        let number = claim.numbering.map(|numbering| numbering.fence(first));
        claim.candidate == self.me && number.is_some() && number <= self.refused
    }

    /// Returns whether claims may be lost that were newer than the newest one of the log.
    pub(super) fn may_have_lost_claims(&self, log_state: &LogState) -> bool {
        match log_state
            .newest
            .as_ref()
            .and_then(|(_, claim)| claim.numbering)
        {
            Some(numbering) => numbering.era < log_state.end.era,
            None => self.saw_restore,
        }
    }

    /// Returns this VM's term as of the last restore while no other VM can have led since.
    pub(super) fn lost_term(&self, now_ms: u64) -> Option<LostTerm> {
        self.lost_term.filter(|term| now_ms < term.lease_ends_ms)
    }
}
