//! Passive health of an endpoint: ejection after failures and slow start after it.

/// `HealthOptions` set when an endpoint is ejected and how it returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthOptions {
    /// Failures in a row that eject.
    pub failures: u32,
    /// Length of the first ejection, in ms; it doubles with each one that follows without a success.
    pub ejection_ms: u64,
    /// Longest ejection, in ms.
    pub ejection_max_ms: u64,
    /// Length of the slow start after an ejection, in ms.
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

/// `Health` is what a gate learnt of an endpoint from its own requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last success outside an ejection.
    ejections: u32,
    /// End of the present or last ejection, in ms; 0 if there was none.
    until_ms: u64,
}

/// Full weight of a healthy endpoint, in thousandths.
pub(crate) const WEIGHT_FULL: u64 = 1_000;

/// Least weight at the begin of a slow start, in thousandths.
const WEIGHT_MIN: u64 = 100;

impl Health {
    /// Notes a request that the endpoint answered.
    pub fn record_success(&mut self, now_ms: u64) {
        self.failures = 0;
        // An answer to a request sent before the ejection does not shorten it.
        if now_ms >= self.until_ms {
            self.ejections = 0;
        }
    }

    /// Notes a request that failed for a reason of the endpoint; returns whether it is ejected for that.
    pub fn record_failure(&mut self, now_ms: u64, options: &HealthOptions) -> bool {
        self.failures = self.failures.saturating_add(1);
        let ejects = self.failures >= options.failures && now_ms >= self.until_ms;
        if ejects {
            let factor = 1_u64 << self.ejections.min(16);
            let length = options.ejection_ms.saturating_mul(factor);
            self.until_ms = now_ms.saturating_add(length.min(options.ejection_max_ms));
            self.ejections = self.ejections.saturating_add(1);
            // One failure after the return ejects again.
            self.failures = options.failures.saturating_sub(1);
        }
        ejects
    }

    /// Notes that the endpoint cannot be reached, which ejects it at once; returns whether it is ejected for that.
    pub fn mark_unreachable(&mut self, now_ms: u64, options: &HealthOptions) -> bool {
        self.failures = options.failures;
        self.record_failure(now_ms, options)
    }

    /// Tells whether the endpoint is ejected.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns the end of the present or last ejection, in ms.
    pub(crate) fn returns_ms(&self) -> u64 {
        self.until_ms
    }

    /// Returns the weight in thousandths: 0 while ejected, then growing over the slow start.
    pub fn weight(&self, now_ms: u64, options: &HealthOptions) -> u64 {
        if self.is_ejected(now_ms) {
            return 0;
        }
        let since = now_ms - self.until_ms;
        if self.until_ms == 0 || since >= options.slow_start_ms {
            return WEIGHT_FULL;
        }
        WEIGHT_MIN + (WEIGHT_FULL - WEIGHT_MIN) * since / options.slow_start_ms
    }
}
