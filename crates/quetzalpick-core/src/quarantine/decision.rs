//! Decision to quarantine a part.

use crate::quarantine::Part;

/// `Decision` names a part that is quarantined from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The part.
    pub part: Part,
    /// Crashes that are evidence against it.
    pub crashes: usize,
}
