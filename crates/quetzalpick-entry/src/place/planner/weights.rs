//! Rate and concurrency limits of loads from the weight store.

use quetzalpick_core::id::{Artifact, Endpoint};

use super::{MS_PER_S, Planner, TOKENS_PER_LOAD, load_ms};
use crate::config::{EngineSpec, Model};
use crate::place::{Action, EngineState, Order};

/// Time by which an entry may lag behind the contents of its engine's disk, in ms.
const ENTRY_LAG_MS: u64 = 2_500;

/// Time from an eviction until its engine can load another model, in ms.
const EVICTION_LEAD_MS: u64 = 1_000;

/// `LoadBudget` limits the loads from the weight store that begin in a planning round, and the evictions for such loads, so that
/// no copy is evicted long before another one can be loaded.
#[derive(Debug)]
pub(super) struct LoadBudget {
    loads: u64,
    /// `None` if an eviction needs only a load that may begin now.
    evictions: Option<u64>,
}

impl LoadBudget {
    /// Returns whether a load may begin now.
    pub(super) fn may_load(&self) -> bool {
        self.loads > 0
    }

    /// Returns whether a copy may be evicted for a load.
    pub(super) fn may_evict(&self) -> bool {
        self.evictions.unwrap_or(self.loads) > 0
    }

    /// Records a load that begins now, or after an eviction.
    pub(super) fn take(&mut self, evicts: bool) {
        self.evictions = self.evictions.map(|evictions| evictions.saturating_sub(1));
        if !evicts {
            self.loads = self.loads.saturating_sub(1);
        }
    }
}

impl Planner {
    /// Refills the token bucket of loads from the weight store.
    pub(super) fn refill_load_tokens(&mut self, now_ms: u64, spec: &EngineSpec) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let added = elapsed_ms.saturating_mul(spec.loads_per_1000_s) / MS_PER_S;
        if added > 0 {
            self.refilled_ms = now_ms;
            let max_tokens = self.options.loads_burst * TOKENS_PER_LOAD;
            self.load_tokens = self.load_tokens.saturating_add(added).min(max_tokens);
        }
    }

    /// Returns whether the weight store's limits allow an engine to load a model now.
    pub(super) fn may_load(
        &self,
        now_ms: u64,
        spec: &EngineSpec,
        engine: &EngineState,
        model: &Artifact,
    ) -> bool {
        !self.reads_store(now_ms, spec, engine, model)
            || (self.load_tokens >= TOKENS_PER_LOAD
                && self.load_ends_ms.len() < self.max_concurrent_loads(spec))
    }

    /// Returns whether an engine may read a model from the weight store when it loads it.
    fn reads_store(
        &self,
        now_ms: u64,
        spec: &EngineSpec,
        engine: &EngineState,
        model: &Artifact,
    ) -> bool {
        let model = spec.model(model);
        model.is_none_or(|model| may_read_store(now_ms, engine, model))
    }

    /// Returns how many loads from the weight store, and evictions for such loads, may begin now.
    pub(super) fn load_budget(&self, now_ms: u64, spec: &EngineSpec) -> LoadBudget {
        let concurrent = self.max_concurrent_loads(spec);
        let tokens = self.load_tokens / TOKENS_PER_LOAD;
        let running = self.load_ends_ms.len();
        let loads = tokens.min(concurrent.saturating_sub(running) as u64);
        if self.hysteresis().is_none() {
            let evictions = None;
            return LoadBudget { loads, evictions };
        }
        let reserved = self.engines.values().filter(|engine| {
            // One that gets no orders now cannot load what is reserved there.
            let model = engine.reserved_for.as_ref().filter(|_| engine.is_usable());
            model.is_some_and(|model| self.reads_store(now_ms, spec, engine, model))
        });
        let reserved = reserved.count() as u64;
        let refilled =
            spec.loads_per_1000_s.saturating_mul(EVICTION_LEAD_MS) / (TOKENS_PER_LOAD * MS_PER_S);
        let followed = (tokens + refilled.max(1)).min(concurrent as u64);
        LoadBudget {
            loads,
            evictions: Some(followed.saturating_sub(reserved)),
        }
    }

    /// Returns how many loads from the weight store may run concurrently: as many as its rate sustains, but at least
    /// `Options::concurrent_loads`.
    fn max_concurrent_loads(&self, spec: &EngineSpec) -> usize {
        let slowest_ms = spec.models.iter().map(|model| model.load_ms).max();
        let slowest_ms = slowest_ms.unwrap_or_default();
        let sustained_micro = spec.loads_per_1000_s.saturating_mul(slowest_ms);
        let sustained =
            usize::try_from(sustained_micro / (TOKENS_PER_LOAD * MS_PER_S)).unwrap_or_default();
        sustained.max(self.options.concurrent_loads)
    }

    /// Charges a load to the weight store's limits if it may read from there.
    pub(super) fn record_load_start(
        &mut self,
        now_ms: u64,
        spec: &EngineSpec,
        endpoint: &Endpoint,
        order: &Order,
    ) {
        let model = spec.model(&order.model);
        let (Some(model), Some(engine)) = (model, self.engines.get_mut(endpoint)) else {
            return;
        };
        if order.action != Action::Load || !may_read_store(now_ms, engine, model) {
            return;
        }
        let (duration_ms, from_store) = load_ms(engine, model);
        if from_store {
            engine.store_load_end_ms = Some(now_ms + duration_ms);
        }
        self.load_tokens = self.load_tokens.saturating_sub(TOKENS_PER_LOAD);
        self.load_ends_ms.push(now_ms + duration_ms);
    }
}

/// Returns whether a load may read from the weight store.
///
/// A load from there evicts another model from the engine's disk, which the engine's entry shows only after a delay.
pub(super) fn may_read_store(now_ms: u64, engine: &EngineState, model: &Model) -> bool {
    let (_, from_store) = load_ms(engine, model);
    from_store
        || engine
            .store_load_end_ms
            .is_some_and(|at| now_ms < at + ENTRY_LAG_MS)
}
