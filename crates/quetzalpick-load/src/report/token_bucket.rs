//! The exact token bucket of a workspace, to tell refusals within its rate from others.

/// Micro-tokens of a token.
const MICRO: u64 = 1_000_000;

/// `Allowance` is a token bucket that sees all requests of a workspace, whatever gate took them.
#[derive(Debug, Clone)]
pub(crate) struct Allowance {
    rate: u64,
    burst_micro: u64,
    level_micro: u64,
    at_us: u64,
}

impl Allowance {
    /// Makes a full bucket for tokens per second and tokens.
    pub(crate) fn new(rate: u64, burst: u64) -> Self {
        let burst_micro = burst * MICRO;
        Self {
            rate,
            burst_micro,
            level_micro: burst_micro,
            at_us: 0,
        }
    }

    /// Tells whether a request is within the rate, and charges it if so.
    pub(crate) fn admits(&mut self, at_us: u64, tokens: u64) -> bool {
        // A rate in tokens per second is the same number in micro-tokens per microsecond.
        let gained = at_us.saturating_sub(self.at_us) * self.rate;
        self.level_micro = self.burst_micro.min(self.level_micro + gained);
        self.at_us = at_us;
        let cost = tokens * MICRO;
        let admitted = cost <= self.level_micro;
        if admitted {
            self.level_micro -= cost;
        }
        admitted
    }
}
