//! What the leader tells other VMs about quarantined features.

use quetzalpick_core::quarantine::Feature;
use serde::{Deserialize, Serialize};

/// `Update` holds the quarantined features that the leader knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Update {
    /// Version under this leader; 0 stands for none.
    pub(crate) version: u64,
    /// Whether `features` are all; otherwise the leader has not read yet what former leaders stored.
    pub(crate) complete: bool,
    /// The quarantined features, sorted.
    pub(crate) features: Vec<Feature>,
}
