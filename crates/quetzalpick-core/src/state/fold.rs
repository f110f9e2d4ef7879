//! The state and how it advances entry by entry.

use serde::{Deserialize, Serialize};

use crate::errors::{Result, decode_error, encode_error};
use crate::id::{Command, Member, Offset, Revision};
use crate::record::Entry;
use crate::state::recent::{Applied, Recent};
use crate::state::snapshot::digest;
use crate::state::{Catalog, Claims, Ledger, Outcome, Roster, Shares};

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
    pub(super) next: Offset,
    pub(super) digest: u64,
    pub(super) revision: Revision,
    pub(super) catalog: Catalog,
    pub(super) roster: Roster,
    pub(super) leadership: Option<Leadership>,
    pub(super) ledger: Ledger,
    pub(super) shares: Shares,
    pub(super) claims: Claims,
    pub(super) recent: Recent,
}

impl State {
    /// Applies the entry at `offset`, which must be `self.next()`, and tells what became of it.
    ///
    /// An entry that this program cannot decode is passed over with `skip`, identically everywhere.
    ///
    /// # Panics
    ///
    /// If `offset` is not `self.next()`: entries left out would let replicas disagree.
    pub fn apply(&mut self, offset: Offset, entry: &Entry) -> Outcome {
        assert_eq!(offset, self.next, "entries are applied in order");
        self.next = Offset(offset.0 + 1);
        let outcome = match self.recent.get(entry.command) {
            Some(former) => Outcome::Repeated(former.offset, Box::new(former.outcome.clone())),
            None => self.apply_first(offset, entry),
        };
        self.extend_digest(offset, Some((entry.command, &outcome)));
        outcome
    }

    /// Passes over the bytes at `offset`, which must be `self.next()`, because they do not decode as an entry.
    ///
    /// # Panics
    ///
    /// If `offset` is not `self.next()`.
    pub fn skip(&mut self, offset: Offset) {
        assert_eq!(offset, self.next, "entries are applied in order");
        self.next = Offset(offset.0 + 1);
        self.extend_digest(offset, None);
    }

    /// Applies a command that was not applied before, and remembers it.
    fn apply_first(&mut self, offset: Offset, entry: &Entry) -> Outcome {
        let outcome = match self.decide(offset, entry) {
            Ok(()) => Outcome::Accepted(self.revision),
            Err(reason) => Outcome::Rejected(reason),
        };
        let applied = Applied {
            offset,
            outcome: outcome.clone(),
        };
        self.recent.insert(entry.command, applied);
        outcome
    }

    /// Adds an entry and its outcome to the digest.
    fn extend_digest(&mut self, offset: Offset, decided: Option<(Command, &Outcome)>) {
        let decided = decided.map(|(command, outcome)| format!("{command} {outcome}"));
        let decided = decided.unwrap_or_default();
        let link = format!("{:x} {offset} {decided}", self.digest);
        self.digest = digest(link.as_bytes());
    }

    /// Returns the offset of the first entry not applied.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the revision of the configuration in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns where a command was first applied and what became of it, while that is remembered.
    pub fn ask(&self, command: Command) -> Option<(Offset, &Outcome)> {
        let applied = self.recent.get(command)?;
        Some((applied.offset, &applied.outcome))
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

    /// Returns the number of commands remembered.
    pub fn commands(&self) -> usize {
        self.recent.len()
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
