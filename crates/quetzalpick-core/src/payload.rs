//! What a gate adds to the exchange with its peers.

use serde::{Deserialize, Serialize};

use crate::errors::{Result, decode_error, encode_error};
use crate::id::Artifact;
use crate::quota::Hint;

/// `Demand` is the recent demand for a model or an adapter at one gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The model or adapter that callers named.
    pub artifact: Artifact,
    /// Prompt and output tokens asked for, per second, refused requests included.
    pub tokens_per_s: u64,
}

/// `Payload` is what a gate tells its peers; nothing rests on it but preferences.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Its shares, sorted by workspace.
    pub hints: Vec<Hint>,
    /// Demand, sorted by artifact.
    pub demand: Vec<Demand>,
}

impl Payload {
    /// Encodes the payload.
    ///
    /// # Errors
    ///
    /// `Error::Encode` if the codec refuses.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec(self).map_err(|e| encode_error("payload", e))
    }

    /// Decodes a payload.
    ///
    /// # Errors
    ///
    /// `Error::Decode` if the bytes are not a payload that this program knows.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|e| decode_error("payload", e))
    }
}
