//! Messages between gates about shares.

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::id::{Member, Offset, Workspace};

/// `TransferRequest` asks a peer for tokens that a request lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// The workspace.
    pub workspace: Workspace,
    /// Offset at which the workspace was created.
    pub created: Offset,
    /// Share epoch of the asker.
    pub epoch: Offset,
    /// Micro-tokens that are missing.
    pub missing_micro: u64,
    /// The asker's recent demand, in micro-tokens.
    pub demand_micro: u64,
}

/// `Transfer` moves parts and the level that comes with them from one gate to another.
///
/// The donor has subtracted both before it sends, and repeats the transfer until it is answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The donor.
    pub from: Member,
    /// The receiver.
    pub to: Member,
    /// Share epoch of the donor.
    pub epoch: Offset,
    /// Counts the donor's transfers to this receiver within the epoch, from 0.
    pub number: u64,
    /// Oldest number of these that was not answered when the transfer was made.
    pub oldest: u64,
    /// The workspace.
    pub workspace: Workspace,
    /// Offset at which the workspace was created.
    pub created: Offset,
    /// Parts moved, of `PARTS_TOTAL`.
    pub parts: u64,
    /// Level moved, in micro-tokens, at most what the parts can hold.
    pub level_micro: u64,
}

/// `Answer` is what the receiver did with a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Answer {
    /// The receiver holds the parts, from this copy of the transfer or from an earlier one.
    Taken,
    /// The receiver will never take it: the donor takes it back if it is still in the same epoch.
    Refused,
    /// The gates are not in the same share epoch, or the receiver has not applied the log far enough: the donor repeats
    /// the transfer until it drops it on entering the next epoch.
    Later,
}

/// `Ack` answers a transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The donor.
    pub from: Member,
    /// The receiver, who answers.
    pub to: Member,
    /// Share epoch of the transfer.
    pub epoch: Offset,
    /// Number of the transfer.
    pub number: u64,
    /// What the receiver did.
    pub answer: Answer,
}

/// `Hint` is what a gate tells its peers of its share of one workspace; nothing rests on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The workspace.
    pub workspace: Workspace,
    /// Offset at which the workspace was created.
    pub created: Offset,
    /// Parts held, of `PARTS_TOTAL`.
    pub parts: u64,
    /// Level, in micro-tokens.
    pub level_micro: u64,
    /// Recent demand, in micro-tokens.
    pub demand_micro: u64,
}

/// `Peer` is another gate with the hints last heard of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The gate.
    pub member: Member,
    /// Its hints, sorted by workspace.
    pub hints: Vec<Hint>,
}

impl Peer {
    /// Returns the hint about a workspace.
    pub fn hint(&self, workspace: &Workspace) -> Option<&Hint> {
        let at = self
            .hints
            .binary_search_by(|hint| hint.workspace.cmp(workspace))
            .ok()?;
        Some(&self.hints[at])
    }
}
