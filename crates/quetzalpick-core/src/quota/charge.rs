//! The outcome of a charge.

use crate::id::{Offset, Workspace};

/// `Charge` is what became of a charge against the local bucket.
#[derive(Debug, PartialEq, Eq)]
pub enum Charge {
    /// The tokens were taken; the debit allows one refund.
    Granted(Debit),
    /// The local bucket lacks tokens; peers may have them.
    Short {
        /// Tokens that are missing.
        missing: u64,
        /// Time until the whole fleet's bucket, if it is empty now, holds what is missing, in ms.
        retry_after_ms: u64,
    },
    /// The request is larger than the workspace's burst, or the workspace does not exist (burst 0).
    TooLarge {
        /// The workspace's burst, in tokens.
        burst: u64,
    },
}

/// `Debit` stands for tokens that were charged; it is consumed by the refund.
#[derive(Debug, PartialEq, Eq)]
pub struct Debit {
    /// The workspace charged.
    pub(crate) workspace: Workspace,
    /// Offset at which that workspace was created.
    pub(crate) created: Offset,
    /// Tokens charged.
    pub(crate) tokens: u64,
    /// Place of the charge in the bucket's history.
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
