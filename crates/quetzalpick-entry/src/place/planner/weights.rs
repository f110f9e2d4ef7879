//! How many loads the weight store allows.

use quetzalpick_core::id::{Artifact, Endpoint};

use super::{LOAD, MS_PER_S, Planner, load_ms};
use crate::config::{EngineSpec, Model};
use crate::place::{Action, EngineState, Order};

/// Time by which an entry may be older than what is on its engine's disk, in ms.
const ENTRY_AGE_MS: u64 = 2_500;

impl Planner {
    /// Adds the loads that the weight store has allowed since the last time.
    pub(super) fn fill(&mut self, now_ms: u64, spec: &EngineSpec) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        let added = elapsed_ms * spec.loads_per_1000_s / MS_PER_S;
        if added > 0 {
            self.filled_ms = now_ms;
            let most = self.options.loads_burst * LOAD;
            self.loads = (self.loads + added).min(most);
        }
    }

    /// Tells whether a model may be loaded now, as far as the weight store goes.
    pub(super) fn may_load(
        &self,
        now_ms: u64,
        spec: &EngineSpec,
        engine: &EngineState,
        model: &Artifact,
    ) -> bool {
        let model = spec.models.iter().find(|m| m.name == *model);
        let from_store = model.is_none_or(|model| may_be_from_store(now_ms, engine, model));
        !from_store || (self.loads >= LOAD && self.loading.len() < self.loads_at_once(spec))
    }

    /// Returns how many loads from the weight store may be under way.
    fn loads_at_once(&self, spec: &EngineSpec) -> usize {
        let slowest_ms = spec.models.iter().map(|model| model.load_ms).max();
        let under_way = spec.loads_per_1000_s * slowest_ms.unwrap_or_default();
        let steady = usize::try_from(under_way / (LOAD * MS_PER_S)).unwrap_or_default();
        steady.max(self.options.loads_at_once)
    }

    /// Notes that a load from the weight store begins.
    pub(super) fn begin_load(
        &mut self,
        now_ms: u64,
        spec: &EngineSpec,
        endpoint: &Endpoint,
        order: &Order,
    ) {
        let model = spec.models.iter().find(|m| m.name == order.model);
        let (Some(model), Some(engine)) = (model, self.engines.get_mut(endpoint)) else {
            return;
        };
        if order.action != Action::Load || !may_be_from_store(now_ms, engine, model) {
            return;
        }
        let (took_ms, from_store) = load_ms(engine, model);
        if from_store {
            engine.stored_ms = Some(now_ms + took_ms);
        }
        self.loads = self.loads.saturating_sub(LOAD);
        self.loading.push(now_ms + took_ms);
    }
}

/// Tells whether a load may be from the weight store.
///
/// A load from there takes the place of another model on the engine's disk, which its entry shows only later.
fn may_be_from_store(now_ms: u64, engine: &EngineState, model: &Model) -> bool {
    let (_, from_store) = load_ms(engine, model);
    from_store
        || engine
            .stored_ms
            .is_some_and(|at| now_ms < at + ENTRY_AGE_MS)
}
