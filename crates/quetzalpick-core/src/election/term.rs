//! The term of a VM that leads.

use crate::election::Numbering;
use crate::id::{Offset, Position};

/// `Term` tracks this VM's own leadership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Term {
    /// Offset of the first record of the term.
    pub(crate) first: Offset,
    /// How its fencing number follows from that offset.
    pub(crate) numbering: Numbering,
    /// Send time of the last accepted renewal, in ms.
    pub(crate) renewed_ms: u64,
    /// Time from which this leader may act, in ms.
    pub(crate) acts_from_ms: u64,
    /// End of the log after the last renewal.
    pub(crate) end: Position,
    /// Send time of an append whose outcome is unknown, in ms.
    pub(crate) unresolved_append_ms: Option<u64>,
    /// Earliest send time of the next renewal, in ms.
    pub(crate) next_renewal_ms: u64,
}

/// `LostTerm` is a term of this VM whose records a restore of the log may have lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LostTerm {
    /// End of its lease, in ms; no other VM can have led before.
    pub(crate) lease_ends_ms: u64,
    /// Time from which its leader was allowed to act, in ms.
    pub(crate) acts_from_ms: u64,
}

impl Term {
    /// Returns what remains of the term if the log may have lost its records.
    pub(crate) fn lost(&self, lease_ms: u64) -> LostTerm {
        LostTerm {
            lease_ends_ms: self.renewed_ms + lease_ms,
            acts_from_ms: self.acts_from_ms,
        }
    }
}
