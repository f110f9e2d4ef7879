//! Tokens charged for one request.

use std::sync::Arc;

use quetzalpick_core::id::Member;
use quetzalpick_core::quota::Debit;

use crate::share::Shares;

/// `TokenCharge` holds the tokens charged for one request, and gives back what was not used when it is dropped.
#[derive(Debug)]
pub(crate) struct TokenCharge {
    shares: Arc<Shares>,
    member: Member,
    debit: Option<Debit>,
    tokens: u64,
    used: u64,
}

impl TokenCharge {
    /// Starts with nothing used.
    pub(crate) fn new(shares: Arc<Shares>, member: Member, debit: Debit) -> Self {
        let tokens = debit.tokens();
        Self {
            shares,
            member,
            debit: Some(debit),
            tokens,
            used: 0,
        }
    }

    /// Sets the tokens used; a request that may have run without an account of its tokens counts in full.
    pub(crate) fn set_used(&mut self, tokens: u64) {
        self.used = tokens.min(self.tokens);
    }

    /// Counts all tokens as used.
    pub(crate) fn use_all(&mut self) {
        self.used = self.tokens;
    }

    /// Returns the tokens that were not used.
    pub(crate) fn unused(&self) -> u64 {
        self.tokens - self.used
    }
}

impl Drop for TokenCharge {
    fn drop(&mut self) {
        let unused = self.unused();
        if let Some(debit) = self.debit.take() {
            self.shares.refund(&self.member, debit, unused);
        }
    }
}
