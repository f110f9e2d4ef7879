//! The planner's inputs about engines and its output.

use strum::Display;

use crate::id::Endpoint;
use crate::record::Operation;

/// `Status` is what the placement leader knows of an engine beyond the ledger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Status {
    /// Whether the engine answered recently; an engine that did not is given no work.
    pub alive: bool,
    /// Whether the engine is leaving, by the VM list or its own report.
    pub leaving: bool,
    /// Requests running and waiting.
    pub requests: u32,
    /// Whether a load of this engine may still arrive late, so that no copy is unloaded there yet.
    pub unsettled: bool,
}

/// `Reason` says why an operation is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The artifact has no copy that serves.
    Unreachable,
    /// An operator pinned the artifact to the engine.
    Pinned,
    /// The artifact has fewer copies than its bounds ask for.
    Fewest,
    /// The copies of another version or of a draining engine are to be replaced.
    Replace,
    /// Demand makes another copy worth its move.
    Demand,
    /// Memory is free for a second copy, which keeps the artifact reachable when an engine is lost.
    Spare,
    /// The copy's version or artifact is not wanted any more.
    Stale,
    /// The engine is draining or leaving.
    Draining,
    /// Memory is needed for a copy that is worth more.
    Room,
    /// The artifact has more copies than its bounds allow.
    Most,
}

/// `Step` is one wanted operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The engine.
    pub endpoint: Endpoint,
    /// What it should do.
    pub operation: Operation,
    /// Why.
    pub reason: Reason,
}
