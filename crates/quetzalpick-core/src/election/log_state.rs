//! The newest state of the log that a VM has observed.

use crate::election::Claim;
use crate::id::{Offset, Position};

/// `LogState` is the newest state of the log, obtained by a read or from a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogState {
    /// End offset of the log.
    pub(crate) end: Position,
    /// Newest record and its offset, reconstructed if the state comes from a heartbeat; `None` if no read returned a record.
    pub(crate) newest: Option<(Offset, Claim)>,
    /// When the log was first observed to end there, in ms; not before its newest record was sent.
    pub(crate) since_ms: u64,
    /// When a read last showed this end, in ms; `None` if the state comes from a heartbeat.
    pub(crate) read_ms: Option<u64>,
}
