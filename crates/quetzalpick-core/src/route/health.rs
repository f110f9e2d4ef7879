//! Passive health checks: ejection of an endpoint after failures, followed by a slow start.

/// `HealthOptions` sets when an endpoint is ejected and how its weight recovers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthOptions {
    /// Consecutive failures after which an endpoint is ejected.
    pub failures: u32,
    /// Duration of the first ejection, in ms; it doubles with each further ejection without a success in between.
    pub ejection_ms: u64,
    /// Maximum duration of an ejection, in ms.
    pub ejection_max_ms: u64,
    /// Duration of the slow start after an ejection, in ms.
    pub slow_start_ms: u64,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            failures: 3,
            ejection_ms: 1_000,
            ejection_max_ms: 30_000,
            slow_start_ms: 5_000,
        }
    }
}

/// `Health` tracks an endpoint's health from the results of a gate's own requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last success outside an ejection.
    ejections: u32,
    /// End of the current or last ejection, in ms; 0 if there was none.
    ejected_until_ms: u64,
}

/// Full weight of a healthy endpoint, in thousandths.
pub(crate) const WEIGHT_FULL: u64 = 1_000;

/// Weight at the start of a slow start, in thousandths.
const WEIGHT_MIN: u64 = 100;

impl Health {
    /// Records a request that the endpoint answered.
    pub fn record_success(&mut self, now_ms: u64) {
        self.failures = 0;
        // An answer to a request sent before the ejection does not shorten it.
        if now_ms >= self.ejected_until_ms {
            self.ejections = 0;
        }
    }

    /// Records a request that failed because of the endpoint; returns true if this ejects the endpoint.
    pub fn record_failure(&mut self, now_ms: u64, options: &HealthOptions) -> bool {
        self.failures = self.failures.saturating_add(1);
        let ejects = self.failures >= options.failures && now_ms >= self.ejected_until_ms;
        if ejects {
            let factor = 1_u64 << self.ejections.min(16);
            let duration_ms = options.ejection_ms.saturating_mul(factor);
            self.ejected_until_ms = now_ms.saturating_add(duration_ms.min(options.ejection_max_ms));
            self.ejections = self.ejections.saturating_add(1);
            // A single failure after the ejection ejects the endpoint again.
            self.failures = options.failures.saturating_sub(1);
        }
        ejects
    }

    /// Records that the endpoint is unreachable, which ejects it at once; returns true if it was not ejected before.
    pub fn mark_unreachable(&mut self, now_ms: u64, options: &HealthOptions) -> bool {
        self.failures = options.failures;
        self.record_failure(now_ms, options)
    }

    /// Returns true if the endpoint is ejected.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Returns the end of the current or last ejection, in ms.
    pub(crate) fn ejected_until_ms(&self) -> u64 {
        self.ejected_until_ms
    }

    /// Returns the weight in thousandths: 0 while ejected, then increasing during the slow start.
    pub fn weight(&self, now_ms: u64, options: &HealthOptions) -> u64 {
        if self.is_ejected(now_ms) {
            return 0;
        }
        let since_ms = now_ms - self.ejected_until_ms;
        if self.ejected_until_ms == 0 || since_ms >= options.slow_start_ms {
            return WEIGHT_FULL;
        }
        WEIGHT_MIN + (WEIGHT_FULL - WEIGHT_MIN) * since_ms / options.slow_start_ms
    }
}
