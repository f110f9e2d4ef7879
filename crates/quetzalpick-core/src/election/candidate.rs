//! The VMs that take part in an election.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Vm};

/// `Candidate` identifies one incarnation of a VM that takes part in the election.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The VM.
    pub vm: Vm,
    /// Its incarnation: one start of its process.
    pub incarnation: Incarnation,
    /// IP address and port at which the other VMs reach it.
    pub address: String,
}
