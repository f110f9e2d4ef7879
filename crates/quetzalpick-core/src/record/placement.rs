//! Placement: orders to engines and their results.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::id::{Artifact, Endpoint, EngineIncarnation, Member, Offset, Sequence, Version};

/// Longest assumed time between sending an order and its arrival at the engine, in ms.
pub const ORDER_LATENESS_MS: u64 = 10_000;

/// `Operation` describes what an order makes an engine do.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Operation {
    /// Loads a version of a model or adapter.
    Load(Artifact, Version),
    /// Unloads a version of a model or adapter.
    Unload(Artifact, Version),
}

/// `Intent` announces one order, which is sent only after the fold has accepted the intent.
///
/// The offset of the intent is the order's fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The placement leader that will send the order.
    pub leader: Member,
    /// Offset at which it became leader; the intent is rejected if this is not the current term.
    pub term: Offset,
    /// The engine.
    pub endpoint: Endpoint,
    /// One more than the endpoint's last accepted intent.
    pub sequence: Sequence,
    /// The operation of the order.
    pub operation: Operation,
}

/// `Settlement` states whether the order of an intent took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Settlement {
    /// The engine's report shows the effect.
    Done,
    /// The engine refused the order permanently, and its report shows no effect.
    Refused,
}

/// `Settled` closes an intent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The engine.
    pub endpoint: Endpoint,
    /// Sequence of the intent.
    pub sequence: Sequence,
    /// Incarnation of the engine whose report showed the result.
    #[serde(rename = "boot")]
    pub incarnation: EngineIncarnation,
    /// First offset that the writer had not applied when it requested the report; the record is rejected if this is
    /// not past the intent and past the last accepted `Report`.
    #[serde(rename = "seen")]
    pub as_of: Offset,
    /// The result of the order.
    pub settlement: Settlement,
}

/// `Report` replaces the recorded copies of an engine if they differ from the ledger, for instance after a restart.
///
/// Open intents stay in the account because their orders may still arrive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The engine.
    pub endpoint: Endpoint,
    /// Incarnation that the engine reported.
    #[serde(rename = "boot")]
    pub incarnation: EngineIncarnation,
    /// First offset that the writer had not applied when it requested the report; the record is rejected if this is
    /// not past the last accepted record about the engine.
    #[serde(rename = "seen")]
    pub as_of: Offset,
    /// Loaded models and adapters, sorted.
    pub loaded: Vec<(Artifact, Version)>,
}
