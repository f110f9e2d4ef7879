//! Heartbeats, with which other VMs learn of a term without reading the log.

use serde::{Deserialize, Serialize};

use crate::election::{Candidate, Numbering};
use crate::id::Offset;

/// `Heartbeat` describes a leader's term; a leader includes it in its answers to other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader.
    pub leader: Candidate,
    /// End offset of the log after its last renewal.
    pub end: Offset,
    /// Time since that renewal was sent, in ms.
    pub age_ms: u64,
    /// Numbering of the term; `None` if the leader runs a former version of the program.
    #[serde(default)]
    pub numbering: Option<Numbering>,
}
