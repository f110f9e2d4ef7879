//! Records of the leadership log.

use serde::{Deserialize, Serialize};

use crate::election::{Candidate, Numbering};
use crate::id::Offset;

/// `Claim` is a log record with which a VM claims, renews or resigns the leadership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Author of the claim, renewal or resignation.
    pub candidate: Candidate,
    /// Offset of the first record of the term; `None` in that record itself.
    pub term: Option<Offset>,
    /// Time until the leader of this term may act, in ms; 0 once it may.
    pub acts_in_ms: u64,
    /// Set when the leader resigns: time since its last action, in ms.
    pub resigned_after_ms: Option<u64>,
    /// Numbering of the term; `None` in claims of former versions of the program.
    #[serde(default)]
    pub numbering: Option<Numbering>,
}
