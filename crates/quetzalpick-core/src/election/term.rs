//! The term of a VM that leads.

use crate::id::Offset;

/// `Term` tracks this VM's own leadership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Term {
    /// Offset of the first record of the term.
    pub(crate) first: Offset,
    /// Send time of the last accepted renewal, in ms.
    pub(crate) renewed_ms: u64,
    /// Time from which this leader may act, in ms.
    pub(crate) acts_from_ms: u64,
    /// End offset of the log after the last renewal.
    pub(crate) end: Offset,
    /// Send time of an append whose outcome is unknown, in ms.
    pub(crate) unresolved_append_ms: Option<u64>,
    /// Earliest send time of the next renewal, in ms.
    pub(crate) next_renewal_ms: u64,
}
