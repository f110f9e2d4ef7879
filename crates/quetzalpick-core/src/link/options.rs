//! Settings of the judgement on a VM's link.

/// `Options` sets when a VM's link to the endpoints counts as lost, and when it is probed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Endpoints in a row that could not be connected to; with fewer endpoints, all of them.
    pub failures: usize,
    /// Time after which a failed connection is no evidence any more, in ms.
    pub failure_ttl_ms: u64,
    /// Time without a byte from any endpoint after which the link is probed while several have requests, in ms.
    pub silence_ms: u64,
    /// Minimum pause between two probes, in ms.
    pub probe_interval_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            failures: 2,
            failure_ttl_ms: 2_000,
            silence_ms: 300,
            probe_interval_ms: 500,
        }
    }
}
