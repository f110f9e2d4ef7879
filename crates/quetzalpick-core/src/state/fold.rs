//! Replicated state, which advances entry by entry.

use serde::{Deserialize, Serialize};

use crate::errors::{Result, decode_error, encode_error};
use crate::id::{Command, Member, Offset, Revision};
use crate::record::Entry;
use crate::state::recent::{Applied, Recent};
use crate::state::snapshot::digest;
use crate::state::{Catalog, Claims, Ledger, Outcome, Roster, Shares};

/// `Leadership` identifies the current placement leader and its term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leadership {
    /// The leader.
    pub member: Member,
    /// Offset at which it became leader.
    pub term: Offset,
}

/// `State` holds everything that the VMs agree on, as of one offset of the control stream.
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
    /// Applies the entry at `offset`, which must be `self.next()`, and returns its outcome.
    ///
    /// For bytes that cannot be decoded, every replica calls `skip` instead.
    ///
    /// # Panics
    ///
    /// If `offset` is not `self.next()`: omitted entries would make replicas diverge.
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

    /// Skips the bytes at `offset`, which must be `self.next()`, because they do not decode as an entry.
    ///
    /// # Panics
    ///
    /// If `offset` is not `self.next()`.
    pub fn skip(&mut self, offset: Offset) {
        assert_eq!(offset, self.next, "entries are applied in order");
        self.next = Offset(offset.0 + 1);
        self.extend_digest(offset, None);
    }

    /// Applies a command that was not applied before, and remembers its outcome.
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

    /// Chains an entry's offset, command and outcome into the digest.
    fn extend_digest(&mut self, offset: Offset, decided: Option<(Command, &Outcome)>) {
        let decided = decided.map(|(command, outcome)| format!("{command} {outcome}"));
        let decided = decided.unwrap_or_default();
        let chained = format!("{:x} {offset} {decided}", self.digest);
        self.digest = digest(chained.as_bytes());
    }

    /// Returns the offset of the first entry that is not applied.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the revision of the current configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the offset at which a command was first applied and its outcome, if it is still remembered.
    pub fn command_outcome(&self, command: Command) -> Option<(Offset, &Outcome)> {
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

    /// Returns the current placement leader and its term.
    pub fn leadership(&self) -> Option<&Leadership> {
        self.leadership.as_ref()
    }

    /// Returns the ledger of loaded copies and open intents.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the granted shares.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Returns the claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the number of remembered commands.
    pub fn commands(&self) -> usize {
        self.recent.len()
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// `Error::Encode` if serialisation fails.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).map_err(|e| encode_error("state", e))
    }

    /// Decodes a state from a snapshot.
    ///
    /// # Errors
    ///
    /// `Error::Decode` if the bytes are not a valid state, for instance one of a newer version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|e| decode_error("state", e))
    }
}
