//! Observed demand per model and adapter.

use crate::id::Artifact;
use crate::table::Table;

/// Milliseconds in one second.
const MS_PER_S: u128 = 1_000;

/// Time constant of the smoothing, in ms.
const SMOOTHING_MS: u128 = 20_000;

/// Micro-units in one token per second.
const MICRO: u128 = 1_000_000;

/// `Demand` is the recent demand per model and adapter, smoothed, in tokens per second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Smoothed rates, in micro-tokens per second.
    rates: Table<Artifact, u128>,
}

impl Demand {
    /// Returns the demand before anything was observed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what was asked for during an interval: tokens per artifact; artifacts not named had none.
    pub fn observe(&mut self, interval_ms: u64, tokens: &Table<Artifact, u64>) {
        let interval_ms = u128::from(interval_ms.max(1));
        for artifact in tokens.keys() {
            self.rates.get_or_insert_with(artifact.clone(), || 0);
        }
        for (artifact, rate) in self.rates.iter_mut() {
            let seen = tokens.get(artifact).copied().unwrap_or_default();
            let measured = u128::from(seen) * MICRO * MS_PER_S / interval_ms;
            *rate = (*rate * SMOOTHING_MS + measured * interval_ms) / (SMOOTHING_MS + interval_ms);
        }
        // What has faded to nothing need not be remembered.
        self.rates.retain(|_, rate| *rate > 0);
    }

    /// Returns the smoothed demand of an artifact, in tokens per second.
    pub fn rate(&self, artifact: &Artifact) -> u64 {
        let rate = self.rates.get(artifact).copied().unwrap_or_default();
        u64::try_from(rate / MICRO).unwrap_or(u64::MAX)
    }
}
