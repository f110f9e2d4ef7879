//! Settings of witnesses and investigations.

/// `Options` sets how much evidence quarantines a feature, and how long it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Time after which a crash is forgotten, in ms.
    pub crash_ttl_ms: u64,
    /// Maximum number of features in each of the two generations of a VM's answers.
    pub answers_max: usize,
    /// Crashes that quarantine a feature that no VM has seen answered.
    pub crashes_if_new: usize,
    /// Crashes that quarantine a feature that was answered before.
    pub crashes_if_answered: usize,
    /// Time that the crashes of a request must span if it was answered before, in ms: longer than answers take.
    pub span_if_answered_ms: u64,
    /// Crashes from which a request is suspected: most are broken off by a crash that others cause.
    pub crashes_if_repeated: usize,
    /// Time for which a feature is suspected before it is quarantined, in ms: VMs report answers to it meanwhile.
    pub hearing_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            crash_ttl_ms: 60_000,
            answers_max: 8_192,
            crashes_if_new: 3,
            crashes_if_answered: 5,
            span_if_answered_ms: 2_500,
            crashes_if_repeated: 2,
            hearing_ms: 600,
        }
    }
}
