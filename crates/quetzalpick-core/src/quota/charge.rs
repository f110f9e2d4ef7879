//! The outcome of a charge.

use crate::id::{Offset, Workspace};

/// `Charge` is the outcome of charging tokens to the local bucket.
#[derive(Debug, PartialEq, Eq)]
pub enum Charge {
    /// The tokens were subtracted; the debit allows one refund.
    Granted(Debit),
    /// The local bucket has too few tokens; peers may have more.
    Short {
        /// Tokens that are missing.
        missing: u64,
        /// Time in which the workspace's rate adds the missing tokens, assuming that all gates' buckets are empty, in
        /// ms.
        retry_after_ms: u64,
    },
    /// The request exceeds the workspace's burst, or the workspace does not exist (burst 0).
    TooLarge {
        /// The workspace's burst, in tokens.
        burst: u64,
    },
}

/// `Debit` identifies charged tokens; a refund consumes it, so that each charge is refunded at most once.
#[derive(Debug, PartialEq, Eq)]
pub struct Debit {
    /// The workspace charged.
    pub(crate) workspace: Workspace,
    /// Offset at which that workspace was created.
    pub(crate) created: Offset,
    /// Tokens charged.
    pub(crate) tokens: u64,
    /// Sequence number of the charge in the bucket's headroom history.
    pub(crate) sequence: u64,
}

impl Debit {
    /// Returns the workspace charged.
    pub fn workspace(&self) -> &Workspace {
        &self.workspace
    }

    /// Returns the tokens charged.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
