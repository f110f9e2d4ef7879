//! Records of the shares of workspaces' rates and bursts that members hold.

use serde::{Deserialize, Serialize};

use crate::id::{Member, Offset, Workspace};

/// Number of equal parts of a workspace's rate and burst; the parts of all members never add up to more.
pub const PARTS_TOTAL: u64 = 1 << 32;

/// `Holding` states the share of one workspace that a member holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The workspace.
    pub workspace: Workspace,
    /// Offset at which the workspace was created; holdings of an earlier workspace with the same name are void.
    pub created: Offset,
    /// Parts of the workspace's rate and burst, out of `PARTS_TOTAL`.
    pub parts: u64,
}

/// `Declaration` states a member's holdings for a share epoch, which starts when a gate departs.
///
/// When all active gates have declared, the fold grants the undeclared parts to the declarers with empty buckets.
/// Transfers carry the epoch of their sender and are accepted only in the same epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// The declaring gate.
    pub member: Member,
    /// Offset of the record that started the epoch.
    pub epoch: Offset,
    /// Holdings of the gate with at least one part, sorted by workspace.
    pub holdings: Vec<Holding>,
}
