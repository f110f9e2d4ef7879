//! Attempts of callers, by a digest.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// `Attempt` identifies a caller's attempt by a digest of its id, which takes less room than the id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Attempt(u64);

impl Attempt {
    /// Returns the attempt with an id.
    pub(crate) fn of(id: &str) -> Self {
        let digest = Sha256::digest(id);
        let first = std::array::from_fn(|index| digest[index]);
        Self(u64::from_be_bytes(first))
    }
}
