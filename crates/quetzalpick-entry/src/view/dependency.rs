//! Availability of a dependency.

/// `DependencyStatus` tracks whether a dependency answers and logs each change once.
#[derive(Debug)]
pub(crate) struct DependencyStatus {
    name: &'static str,
    /// Time of the first failure since the last answer, in ms.
    unreachable_since_ms: Option<u64>,
}

impl DependencyStatus {
    /// Creates the status of a dependency that is assumed to be reachable.
    pub(crate) fn new(name: &'static str) -> Self {
        let unreachable_since_ms = None;
        Self {
            name,
            unreachable_since_ms,
        }
    }

    /// Records an answer; returns the length of the outage that it ends, in ms, if any.
    pub(crate) fn record_answer(&mut self, now_ms: u64) -> Option<u64> {
        let outage_ms = now_ms.saturating_sub(self.unreachable_since_ms.take()?);
        log::info!(
            "view: dependency={} reachable again away_ms={outage_ms}",
            self.name
        );
        Some(outage_ms)
    }

    /// Records a call without an answer.
    pub(crate) fn record_failure(&mut self, now_ms: u64, error: &impl std::fmt::Display) {
        if self.unreachable_since_ms.is_none() {
            log::warn!(
                "view: dependency={} unreachable reason=\"{error}\"",
                self.name
            );
            self.unreachable_since_ms = Some(now_ms);
        }
    }
}
