//! What the leader tells other VMs about quarantined parts.

use quetzalpick_core::quarantine::Part;
use serde::{Deserialize, Serialize};

/// `Update` holds the quarantined parts that the leader knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Update {
    /// Version under this leader; 0 stands for none.
    pub(crate) version: u64,
    /// Whether `parts` are all; otherwise the leader has not read yet what former leaders stored.
    pub(crate) complete: bool,
    /// The quarantined parts, sorted.
    pub(crate) parts: Vec<Part>,
}
