//! The status of engines as an input of the planner, and the steps it returns.

use strum::Display;

use crate::id::Endpoint;
use crate::record::Operation;

/// `Status` holds the placement leader's observations of an engine that are not in the ledger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Status {
    /// Whether the engine answered recently; otherwise it gets no new copies.
    pub alive: bool,
    /// Whether the engine is leaving, according to the VM list or its own report.
    pub leaving: bool,
    /// Requests running and waiting.
    pub requests: u32,
    /// Whether a delayed load order may still reach the engine, so that no copy is unloaded there yet.
    pub unsettled: bool,
}

/// `Reason` classifies why a step is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The artifact has no copy that serves.
    Unreachable,
    /// An operator pinned the artifact to the engine.
    Pinned,
    /// The artifact has fewer copies than its configured minimum.
    #[strum(serialize = "fewest")]
    BelowMin,
    /// Copies of another version or on a draining engine need replacements.
    Replace,
    /// Demand justifies another copy.
    Demand,
    /// Free memory allows a second copy, which keeps the artifact reachable when an engine fails.
    Spare,
    /// The copy's version or artifact is no longer configured, or its base model is missing.
    Stale,
    /// The engine is draining or leaving.
    Draining,
    /// Memory is needed for another copy.
    #[strum(serialize = "room")]
    MemoryNeeded,
    /// The artifact has more copies than its configured maximum.
    #[strum(serialize = "most")]
    AboveMax,
}

/// `Step` pairs a load or unload operation with its engine and reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Engine that executes the operation.
    pub endpoint: Endpoint,
    /// Load or unload to execute.
    pub operation: Operation,
    /// Why the step is taken.
    pub reason: Reason,
}
