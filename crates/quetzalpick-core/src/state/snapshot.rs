//! Encoded snapshots of the state.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::errors::{Result, decode_error, encode_error};
use crate::id::Offset;
use crate::state::State;

/// `Snapshot` holds an encoded state, a digest of it, and the offset at which the control stream continues.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the first entry that the state does not contain.
    #[serde(rename = "through")]
    pub next: Offset,
    /// First 8 bytes of the SHA-256 digest of `state`.
    pub digest: u64,
    /// The encoded state.
    #[serde(with = "crate::record::byte_string")]
    pub state: Vec<u8>,
}

impl Snapshot {
    /// Encodes a state as a snapshot.
    ///
    /// # Errors
    ///
    /// `Error::Encode` if serialisation fails.
    pub fn try_new(state: &State) -> Result<Self> {
        let bytes = state.to_bytes()?;
        Ok(Self {
            next: state.next(),
            digest: digest(&bytes),
            state: bytes,
        })
    }

    /// Verifies the digest and decodes the state.
    ///
    /// # Errors
    ///
    /// `Error::Decode` if the state is corrupt, or its offset differs from `next`.
    pub fn open(&self) -> Result<State> {
        if digest(&self.state) != self.digest {
            return Err(decode_error("snapshot", "the digest differs"));
        }
        let state = State::from_bytes(&self.state)?;
        if state.next() != self.next {
            return Err(decode_error("snapshot", "the offset differs"));
        }
        Ok(state)
    }

    /// Encodes the snapshot for the log service or a peer.
    ///
    /// # Errors
    ///
    /// `Error::Encode` if serialisation fails.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).map_err(|e| encode_error("snapshot", e))
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// `Error::Decode` if the bytes are not a valid snapshot.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|e| decode_error("snapshot", e))
    }
}

/// Returns the first 8 bytes of the SHA-256 digest.
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    let prefix = digest.iter().take(8);
    prefix.fold(0, |number, byte| (number << 8) | u64::from(*byte))
}
