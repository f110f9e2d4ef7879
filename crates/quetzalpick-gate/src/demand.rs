//! What callers ask for, per model and adapter.

use std::sync::{Mutex, PoisonError};

use quetzalpick_core::id::Artifact;
use quetzalpick_core::payload::Demand;
use quetzalpick_core::plan;
use quetzalpick_core::table::Table;

use crate::clock::Clock;

/// Shortest interval that a rate is worked out over, in ms.
const INTERVAL_MS: u64 = 1_000;

/// `Recorder` adds up what callers ask for.
#[derive(Debug)]
pub(crate) struct Recorder {
    clock: Clock,
    inner: Mutex<Inner>,
}

/// `Inner` is what the lock protects.
#[derive(Debug, Default)]
struct Inner {
    since_ms: u64,
    tokens: Table<Artifact, u64>,
    known: Table<Artifact, ()>,
    demand: plan::Demand,
}

impl Recorder {
    /// Returns a recorder of nothing.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            inner: Mutex::default(),
        }
    }

    /// Notes a request of some tokens.
    pub(crate) fn note(&self, artifact: &Artifact, tokens: u64) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        *inner.tokens.get_or_insert_with(artifact.clone(), || 0) += tokens;
    }

    /// Returns the smoothed demand, sorted by artifact.
    pub(crate) fn rates(&self) -> Vec<Demand> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.observe(now_ms);
        let rates = inner.known.keys().map(|artifact| Demand {
            artifact: artifact.clone(),
            tokens_per_s: inner.demand.rate(artifact),
        });
        rates.filter(|demand| demand.tokens_per_s > 0).collect()
    }
}

impl Inner {
    /// Smooths what was noted since the last time, if that is long enough ago.
    fn observe(&mut self, now_ms: u64) {
        let interval_ms = now_ms.saturating_sub(self.since_ms);
        if interval_ms < INTERVAL_MS {
            return;
        }
        let tokens = std::mem::take(&mut self.tokens);
        self.demand.observe(interval_ms, &tokens);
        self.since_ms = now_ms;
        for artifact in tokens.keys() {
            self.known.insert(artifact.clone(), ());
        }
        let demand = &self.demand;
        self.known
            .retain(|artifact, ()| demand.rate(artifact) > 0 || tokens.contains(artifact));
    }
}
