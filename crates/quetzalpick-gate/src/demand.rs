//! Demand of callers for each model and adapter.

use std::sync::{Mutex, PoisonError};

use quetzalpick_core::id::Artifact;
use quetzalpick_core::payload::Demand;
use quetzalpick_core::plan;
use quetzalpick_core::table::Table;

use crate::clock::Clock;

/// Minimum interval over which a rate is computed, in ms.
const INTERVAL_MS: u64 = 1_000;

/// `DemandTracker` counts the requested tokens of each artifact and smooths them into rates.
#[derive(Debug)]
pub(crate) struct DemandTracker {
    clock: Clock,
    inner: Mutex<Inner>,
}

/// `Inner` holds the state that the lock protects.
#[derive(Debug, Default)]
struct Inner {
    /// Start of the interval that `tokens` covers, in ms.
    since_ms: u64,
    tokens: Table<Artifact, u64>,
    /// Artifacts with a rate above 0 or with recent requests.
    active: Table<Artifact, ()>,
    demand: plan::Demand,
}

impl DemandTracker {
    /// Creates a tracker without requests.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            inner: Mutex::default(),
        }
    }

    /// Records a request for some tokens of an artifact.
    pub(crate) fn record(&self, artifact: &Artifact, tokens: u64) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        *inner.tokens.get_or_insert_with(artifact.clone(), || 0) += tokens;
    }

    /// Returns the smoothed demand, sorted by artifact.
    pub(crate) fn rates(&self) -> Vec<Demand> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.update_rates(now_ms);
        let rates = inner.active.keys().map(|artifact| Demand {
            artifact: artifact.clone(),
            tokens_per_s: inner.demand.rate(artifact),
        });
        rates.filter(|demand| demand.tokens_per_s > 0).collect()
    }
}

impl Inner {
    /// Adds the tokens recorded since the last call to the smoothed rates, if at least `INTERVAL_MS` has passed.
    fn update_rates(&mut self, now_ms: u64) {
        let interval_ms = now_ms.saturating_sub(self.since_ms);
        if interval_ms < INTERVAL_MS {
            return;
        }
        let tokens = std::mem::take(&mut self.tokens);
        self.demand.observe(interval_ms, &tokens);
        self.since_ms = now_ms;
        for artifact in tokens.keys() {
            self.active.insert(artifact.clone(), ());
        }
        let demand = &self.demand;
        self.active
            .retain(|artifact, ()| demand.rate(artifact) > 0 || tokens.contains(artifact));
    }
}
