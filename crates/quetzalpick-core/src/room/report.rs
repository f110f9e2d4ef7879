//! What a VM tells the leader of its use of an endpoint.

use serde::{Deserialize, Serialize};

/// `Report` holds a VM's use of one endpoint at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Number of this report or draw; a VM's later ones have higher numbers.
    pub number: u64,
    /// The draws up to this number are settled: their requests count as in flight, have ended, or will not be sent.
    pub settled: u64,
    /// Requests of the VM that were sent there and have not ended.
    pub in_flight: u32,
    /// Requests that the endpoint has declined to the VM so far.
    pub declined: u64,
}
