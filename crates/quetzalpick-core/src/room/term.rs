//! How much a leader knows of what the VMs have in flight.

/// Time after which a new leader grants permits even if some VMs have not reported, in ms.
const SETTLE_MS: u64 = 2_500;

/// Time after its last status for which a VM counts as one that reports, in ms: longer than the longest interval between statuses.
pub const HEARD_MS: u64 = 3_000;

/// `Term` describes a leader and the VMs that report to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// When the term began, in ms.
    pub since_ms: u64,
    /// Number of VMs.
    pub members: u64,
    /// Number of VMs that reported to this leader within `HEARD_MS`.
    pub heard: u64,
}

impl Term {
    /// Returns whether the leader may grant permits: earlier it does not know what its predecessor permitted.
    pub(super) fn is_settled(&self, now_ms: u64) -> bool {
        self.heard >= self.members || now_ms >= self.since_ms + SETTLE_MS
    }

    /// Returns the number of VMs that do not report.
    pub(super) fn silent(&self) -> u64 {
        self.members.saturating_sub(self.heard)
    }
}
