//! The exact bucket that holds for the whole fleet, replayed over what was admitted.

use quetzalpick_core::quota::MICRO;

/// `Allowance` replays admissions against one exact bucket.
#[derive(Debug, Clone, Default)]
pub(crate) struct Allowance {
    /// Time in ms and tokens used of each admission, in order of time.
    spent: Vec<(u64, u64)>,
}

impl Allowance {
    /// Notes an admission by the tokens that it really used.
    pub(crate) fn spend(&mut self, now_ms: u64, tokens: u64) {
        self.spent.push((now_ms, tokens));
    }

    /// Returns the tokens that the worst window spent beyond burst + rate x window.
    pub(crate) fn worst_excess(&self, rate: u64, burst: u64) -> u64 {
        let micro = i128::from(MICRO);
        let cap = i128::from(burst) * micro;
        let (mut level, mut at_ms, mut worst) = (cap, 0, 0);
        for (now_ms, tokens) in &self.spent {
            let filled = i128::from(rate) * 1_000 * i128::from(now_ms - at_ms);
            level = (level + filled).min(cap) - i128::from(*tokens) * micro;
            at_ms = *now_ms;
            worst = worst.max(-level);
        }
        u64::try_from(worst / micro).unwrap_or(u64::MAX)
    }
}
