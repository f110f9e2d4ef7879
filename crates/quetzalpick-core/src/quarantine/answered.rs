//! Report of a VM on an answer to a request with a suspected part.

use serde::{Deserialize, Serialize};

use crate::quarantine::Part;

/// `Answered` tells when a request with a part last brought its first event to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// The part.
    pub part: Part,
    /// Time since the first event, in ms.
    pub ago_ms: u64,
}
