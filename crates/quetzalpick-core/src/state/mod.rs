//! The fold: every VM applies the same entries in offset order and reaches the same state.

mod catalog;
mod claims;
mod ledger;
mod outcome;
mod roster;
mod shares;
mod snapshot;

pub use catalog::{Catalog, Target};
pub use claims::{Claims, Held};
pub use ledger::{Account, Ledger, Open};
pub use outcome::{Outcome, Reason};
pub use roster::{Membership, Roster};
pub use shares::{Grant, Shares};
pub use snapshot::Snapshot;

use serde::{Deserialize, Serialize};

use crate::errors::{Result, decode_error, encode_error};
use crate::id::{Member, Offset, Revision};
use crate::record::Entry;

/// `Leadership` is the placement leader in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leadership {
    /// The leader.
    pub member: Member,
    /// Offset at which it became leader.
    pub term: Offset,
}

/// `State` is everything that the VMs agree on, as of one offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    next: Offset,
    revision: Revision,
    catalog: Catalog,
    roster: Roster,
    leadership: Option<Leadership>,
    ledger: Ledger,
    shares: Shares,
    claims: Claims,
}

impl State {
    /// Applies the entry at `offset`, which must be `self.next()`, and tells what became of it.
    ///
    /// An entry that this program cannot decode is passed over with `skip`, identically everywhere.
    pub fn apply(&mut self, offset: Offset, entry: &Entry) -> Outcome {
        let _ = entry;
        self.next = Offset(offset.0 + 1);
        Outcome::Rejected(Reason::Unknown {
            what: "nothing yet".to_owned(),
        })
    }

    /// Passes over the bytes at `offset`, which must be `self.next()`, because they do not decode as an entry.
    pub fn skip(&mut self, offset: Offset) {
        self.next = Offset(offset.0 + 1);
    }

    /// Returns a digest of all entries and outcomes so far, equal on replicas that agree at the same offset.
    pub fn digest(&self) -> u64 {
        0
    }

    /// Returns the offset of the first entry not applied.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the revision of the configuration in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the configuration.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the membership.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the placement leader.
    pub fn leadership(&self) -> Option<&Leadership> {
        self.leadership.as_ref()
    }

    /// Returns what engines hold and were promised.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the shares given out.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Returns the claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// `Error::Encode` if the codec refuses.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).map_err(|e| encode_error("state", e))
    }

    /// Decodes a state from a snapshot.
    ///
    /// # Errors
    ///
    /// `Error::Decode` if the bytes are not a state that this program knows.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|e| decode_error("state", e))
    }
}
