//! Intervals and timeouts of an election.

/// `Options` sets the intervals and timeouts of an election; all VMs use the same apart from what depends on their size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Interval between two renewals, in ms.
    pub renew_ms: u64,
    /// Time for which a leader may act after it sent its last renewal, in ms.
    pub lease_ms: u64,
    /// Time without a renewal after which another VM claims, in ms; longer than `lease_ms`.
    pub expiry_ms: u64,
    /// Window over which claims of different VMs are spread, in ms, so that most VMs read the first claim before they attempt one.
    pub stagger_ms: u64,
    /// Additional delay before this VM claims, in ms; set for VMs that are less suited to lead.
    pub claim_delay_ms: u64,
    /// Further delay while this VM would lead badly, in ms.
    pub unsuited_delay_ms: u64,
    /// Delay before this VM appends the first claim to an empty log, in ms; shorter on larger VMs.
    pub first_claim_delay_ms: u64,
    /// Time without a heartbeat of the leader after which the log is read, in ms.
    pub silence_ms: u64,
    /// Minimum time between the actions of two leaders on different VMs, in ms.
    pub handover_ms: u64,
    /// Interval between two reads while there is no leader, in ms.
    pub read_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            renew_ms: 700,
            lease_ms: 1_500,
            expiry_ms: 1_800,
            stagger_ms: 400,
            claim_delay_ms: 0,
            unsuited_delay_ms: 1_100,
            first_claim_delay_ms: 0,
            silence_ms: 900,
            handover_ms: 3_200,
            read_ms: 400,
        }
    }
}

impl Options {
    /// Returns the options of a VM that is suited to lead. It reads the log early: a VM that missed the last renewal measures the
    /// leader's expiry from the read that shows this renewal.
    pub fn for_large_vm() -> Self {
        Self {
            silence_ms: 600,
            ..Self::default()
        }
    }

    /// Returns the options of a VM that is less suited to lead. It claims after a larger VM even if only the small VM received the
    /// last renewal.
    pub fn for_small_vm() -> Self {
        Self {
            claim_delay_ms: 1_100,
            ..Self::default()
        }
    }
}
