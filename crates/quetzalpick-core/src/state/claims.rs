//! The claims: calls that must run at most once.

use serde::{Deserialize, Serialize};

use crate::id::{Member, Offset};
use crate::record::{ClaimKey, ClaimResult};
use crate::table::Table;

/// `Held` is a claim in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Offset of the claim.
    pub offset: Offset,
    /// Digest of method, path and body.
    pub fingerprint: u64,
    /// The gate that sends the call.
    pub member: Member,
    /// What became of the call; `None` while that is open.
    pub result: Option<ClaimResult>,
}

/// `Claims` is the aggregate of claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Claims in force.
    pub(crate) held: Table<ClaimKey, Held>,
}

impl Claims {
    /// Returns the claims in force.
    pub fn held(&self) -> &Table<ClaimKey, Held> {
        &self.held
    }
}
