//! Payload that a gate attaches to its exchange with peers.

use serde::{Deserialize, Serialize};

use crate::errors::{Result, decode_error, encode_error};
use crate::id::Artifact;
use crate::quota::Hint;

/// `Demand` measures the recent demand for a model or an adapter at one gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The requested model or adapter.
    pub artifact: Artifact,
    /// Requested prompt and output tokens per second, including refused requests.
    pub tokens_per_s: u64,
}

/// `Payload` carries the shares and demand of a gate to its peers, which use them only as hints for preferences.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Shares of the gate, sorted by workspace.
    pub hints: Vec<Hint>,
    /// Demand at the gate, sorted by artifact.
    pub demand: Vec<Demand>,
}

impl Payload {
    /// Encodes the payload.
    ///
    /// # Errors
    ///
    /// `Error::Encode` if serialisation fails.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec(self).map_err(|e| encode_error("payload", e))
    }

    /// Decodes a payload.
    ///
    /// # Errors
    ///
    /// `Error::Decode` if the bytes are not a valid payload.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|e| decode_error("payload", e))
    }
}
