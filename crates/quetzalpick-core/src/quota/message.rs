//! Messages between gates about shares.

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::id::{Member, Offset, Workspace};

/// `TransferRequest` asks a peer for the tokens missing for a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// The workspace.
    pub workspace: Workspace,
    /// Offset at which the workspace was created.
    pub created: Offset,
    /// Share epoch of the requesting gate.
    pub epoch: Offset,
    /// Micro-tokens that are missing.
    pub missing_micro: u64,
    /// Recent demand at the requesting gate, in micro-tokens.
    pub demand_micro: u64,
}

/// `Transfer` moves parts and their level from one gate to another.
///
/// The donor subtracts both before sending, and resends the transfer until it is answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The donor.
    pub from: Member,
    /// The receiver.
    pub to: Member,
    /// Share epoch of the donor.
    pub epoch: Offset,
    /// Sequence number of the donor's transfers to this receiver within the epoch, from 0.
    pub number: u64,
    /// Lowest of these numbers that was unanswered when the transfer was created.
    pub oldest: u64,
    /// The workspace.
    pub workspace: Workspace,
    /// Offset at which the workspace was created.
    pub created: Offset,
    /// Parts moved, of `PARTS_TOTAL`.
    pub parts: u64,
    /// Level moved, in micro-tokens, at most the capacity of the parts.
    pub level_micro: u64,
}

/// `Answer` is the outcome of a transfer at the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Answer {
    /// The receiver has accepted the transfer, from this copy or an earlier one.
    Taken,
    /// The receiver will never accept the transfer: the donor restores the parts if it is still in the same epoch.
    Refused,
    /// The gates are in different share epochs, the receiver has not applied enough of the log, or the number is beyond
    /// its window: the donor resends the transfer until it is answered or dropped on entering the next epoch.
    Later,
}

/// `Ack` carries the answer to one transfer back to the donor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The donor.
    pub from: Member,
    /// The receiver, which answers.
    pub to: Member,
    /// Share epoch of the transfer.
    pub epoch: Offset,
    /// Number of the transfer.
    pub number: u64,
    /// Outcome at the receiver.
    pub answer: Answer,
}

/// `Hint` reports a gate's share of one workspace to its peers; correctness does not depend on it.
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

/// `Peer` holds the hints last received from another gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The gate.
    pub member: Member,
    /// Its hints, sorted by workspace.
    pub hints: Vec<Hint>,
}

impl Peer {
    /// Returns the hint for a workspace.
    pub fn hint(&self, workspace: &Workspace) -> Option<&Hint> {
        let index = self
            .hints
            .binary_search_by(|hint| hint.workspace.cmp(workspace))
            .ok()?;
        Some(&self.hints[index])
    }
}
