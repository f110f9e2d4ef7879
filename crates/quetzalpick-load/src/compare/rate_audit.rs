//! Checks the admitted requests against one exact token bucket for the complete fleet.

use quetzalpick_core::quota::MICRO;

/// `RateAudit` records the admissions of a workspace and replays them against one exact token bucket.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateAudit {
    /// Time in ms and used tokens of each admission, sorted by time.
    admissions: Vec<(u64, u64)>,
}

impl RateAudit {
    /// Records an admission with the tokens that it actually used.
    pub(crate) fn record(&mut self, now_ms: u64, tokens: u64) {
        self.admissions.push((now_ms, tokens));
    }

    /// Returns the maximum, over all windows, of the tokens used beyond burst + rate x window.
    pub(crate) fn worst_excess(&self, rate: u64, burst: u64) -> u64 {
        let micro = i128::from(MICRO);
        let burst_micro = i128::from(burst) * micro;
        let (mut level_micro, mut updated_ms, mut worst_micro) = (burst_micro, 0, 0);
        for (now_ms, tokens) in &self.admissions {
            let refilled = i128::from(rate) * 1_000 * i128::from(now_ms - updated_ms);
            level_micro = (level_micro + refilled).min(burst_micro) - i128::from(*tokens) * micro;
            updated_ms = *now_ms;
            worst_micro = worst_micro.max(-level_micro);
        }
        u64::try_from(worst_micro / micro).unwrap_or(u64::MAX)
    }
}
