//! An exact token bucket per workspace, which decides whether a request was within the rate.

/// Micro-tokens per token.
const MICRO: u64 = 1_000_000;

/// `TokenBucket` is charged with all requests of a workspace, whichever gate received them.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    rate: u64,
    burst_micro: u64,
    level_micro: u64,
    updated_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket with `rate` in tokens per second and `burst` in tokens.
    pub(crate) fn new(rate: u64, burst: u64) -> Self {
        let burst_micro = burst * MICRO;
        Self {
            rate,
            burst_micro,
            level_micro: burst_micro,
            updated_us: 0,
        }
    }

    /// Charges a request and returns true if it is within the rate.
    pub(crate) fn try_charge(&mut self, at_us: u64, tokens: u64) -> bool {
        // A rate in tokens per second is the same number in micro-tokens per microsecond.
        let refilled = at_us.saturating_sub(self.updated_us) * self.rate;
        self.level_micro = self.burst_micro.min(self.level_micro + refilled);
        self.updated_us = at_us;
        let cost = tokens * MICRO;
        let admitted = cost <= self.level_micro;
        if admitted {
            self.level_micro -= cost;
        }
        admitted
    }
}
