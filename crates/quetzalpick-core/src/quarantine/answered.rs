//! Report of a VM on an answer to a request with a suspected feature.

use serde::{Deserialize, Serialize};

use crate::quarantine::Feature;

/// `Answered` tells when a request with a feature last brought its first event to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// The feature.
    pub feature: Feature,
    /// Time since the first event, in ms.
    pub ago_ms: u64,
}
