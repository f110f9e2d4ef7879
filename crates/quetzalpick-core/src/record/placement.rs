//! Placement: orders to engines and what became of them.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::id::{Artifact, Endpoint, EngineIncarnation, Member, Offset, Sequence, Version};

/// Longest time between sending an order and its arrival at the engine, in ms.
pub const ORDER_LATENESS_MS: u64 = 10_000;

/// `Operation` is what an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Operation {
    /// Loads a version of a model or adapter.
    Load(Artifact, Version),
    /// Unloads a version of a model or adapter.
    Unload(Artifact, Version),
}

/// `Intent` announces one order; it is sent only after the fold has accepted it.
///
/// The offset of the intent is the order's fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The placement leader that will send the order.
    pub leader: Member,
    /// Offset at which it became leader; an older leadership rejects the intent.
    pub term: Offset,
    /// The engine.
    pub endpoint: Endpoint,
    /// One more than the endpoint's last accepted intent.
    pub sequence: Sequence,
    /// The order.
    pub operation: Operation,
}

/// `Settlement` is what became of an intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Settlement {
    /// The engine's report shows the effect.
    Done,
    /// The engine refused for good, and its report shows no effect.
    Refused,
}

/// `Settled` closes an intent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The engine.
    pub endpoint: Endpoint,
    /// The intent.
    pub sequence: Sequence,
    /// Incarnation of the engine whose report showed it.
    #[serde(rename = "boot")]
    pub incarnation: EngineIncarnation,
    /// First offset that the writer had not applied when it asked for the report; one from before the intent, or before
    /// the last accepted `Report`, rejects the record.
    #[serde(rename = "seen")]
    pub as_of: Offset,
    /// What became of it.
    pub settlement: Settlement,
}

/// `Report` records what an engine holds where that differs from the ledger, as after its restart.
///
/// Open intents stay counted: their orders may still arrive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The engine.
    pub endpoint: Endpoint,
    /// Incarnation that the engine reported.
    #[serde(rename = "boot")]
    pub incarnation: EngineIncarnation,
    /// First offset that the writer had not applied when it asked for the report; one from before the last accepted
    /// record about the engine rejects this one.
    #[serde(rename = "seen")]
    pub as_of: Offset,
    /// What it holds, sorted.
    pub loaded: Vec<(Artifact, Version)>,
}
