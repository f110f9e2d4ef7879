//! The tokens charged for one request.

use std::sync::Arc;

use quetzalpick_core::id::Member;
use quetzalpick_core::quota::Debit;

use crate::share::Shares;

/// `TokenCharge` tracks the tokens charged for one request and refunds the unused ones when it is dropped.
#[derive(Debug)]
pub(crate) struct TokenCharge {
    shares: Arc<Shares>,
    member: Member,
    debit: Option<Debit>,
    tokens: u64,
    used: u64,
}

impl TokenCharge {
    /// Creates a charge whose tokens are all unused.
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

    /// Sets the number of tokens used; `use_all` applies to requests that may have run but whose usage is unknown.
    pub(crate) fn set_used(&mut self, tokens: u64) {
        self.used = tokens.min(self.tokens);
    }

    /// Counts all tokens as used.
    pub(crate) fn use_all(&mut self) {
        self.used = self.tokens;
    }

    /// Returns the number of unused tokens.
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
