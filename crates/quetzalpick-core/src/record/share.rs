//! Shares of the workspaces' rates and bursts.

use serde::{Deserialize, Serialize};

use crate::id::{Member, Offset, Workspace};

/// Parts that a workspace's rate and burst are divided into; the parts of all members never add up to more.
pub const PARTS_TOTAL: u64 = 1 << 32;

/// `Holding` is what one member holds of one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The workspace.
    pub workspace: Workspace,
    /// Offset at which the workspace was created; holdings of an earlier workspace of that name are void.
    pub created: Offset,
    /// Parts of its rate and burst, of `PARTS_TOTAL`.
    pub parts: u64,
}

/// `Declaration` states a member's holdings for a share epoch, which a departure opens.
///
/// When all active gates have declared, the fold gives the parts that nobody declared to the declarers, with empty
/// buckets. Transfers carry the epoch of their sender and are taken only in the same epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// The declaring gate.
    pub member: Member,
    /// Offset of the record that opened the epoch.
    pub epoch: Offset,
    /// Its holdings with at least one part, sorted by workspace.
    pub holdings: Vec<Holding>,
}
