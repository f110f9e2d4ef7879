//! Observed demand per model and adapter.

use crate::id::Artifact;
use crate::table::Table;

/// Milliseconds in one second.
const MS_PER_S: u128 = 1_000;

/// Time constant of the smoothing, in ms.
const SMOOTHING_MS: u128 = 20_000;

/// Micro-units in one token per second.
const MICRO: u128 = 1_000_000;

/// `Demand` tracks the exponentially smoothed token rate requested per model and adapter.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Smoothed rates, in micro-tokens per second.
    rates: Table<Artifact, u128>,
}

impl Demand {
    /// Creates a tracker without any demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the tokens requested per artifact during an interval; artifacts that are not listed had no demand.
    pub fn observe(&mut self, interval_ms: u64, tokens: &Table<Artifact, u64>) {
        let interval_ms = u128::from(interval_ms.max(1));
        for artifact in tokens.keys() {
            self.rates.get_or_insert_with(artifact.clone(), || 0);
        }
        for (artifact, rate) in self.rates.iter_mut() {
            let requested = tokens.get(artifact).copied().unwrap_or_default();
            let measured = u128::from(requested) * MICRO * MS_PER_S / interval_ms;
            *rate = (*rate * SMOOTHING_MS + measured * interval_ms) / (SMOOTHING_MS + interval_ms);
        }
        // Drop artifacts whose rate has decayed to zero.
        self.rates.retain(|_, rate| *rate > 0);
    }

    /// Returns the smoothed demand of an artifact, in tokens per second.
    pub fn rate(&self, artifact: &Artifact) -> u64 {
        let rate = self.rates.get(artifact).copied().unwrap_or_default();
        u64::try_from(rate / MICRO).unwrap_or(u64::MAX)
    }
}
