//! What a gate tells its peers in each exchange.

use bytes::Bytes;
use quetzalpick_core::id::Artifact;
use quetzalpick_core::quota::Hint;
use serde::{Deserialize, Serialize};

/// `Demand` is the recent demand for a model or an adapter at one gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The model or adapter that callers named.
    pub artifact: Artifact,
    /// Prompt and output tokens asked for, per second, refused requests included.
    pub tokens_per_s: u64,
}

/// `Payload` is what a gate adds to the exchange; nothing rests on it but preferences.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Its shares, sorted by workspace.
    pub hints: Vec<Hint>,
    /// Demand, sorted by artifact.
    pub demand: Vec<Demand>,
}

impl Payload {
    /// Encodes the payload.
    pub fn to_bytes(&self) -> Bytes {
        // Names and numbers always encode.
        Bytes::from(rmp_serde::to_vec(self).unwrap_or_default())
    }

    /// Decodes a payload; `None` if it is not one that this program knows.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}
