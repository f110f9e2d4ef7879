//! Decision to quarantine a feature.

use crate::quarantine::Feature;

/// `Decision` names a feature that is quarantined from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The feature.
    pub feature: Feature,
    /// Crashes that are evidence against it.
    pub crashes: usize,
}
