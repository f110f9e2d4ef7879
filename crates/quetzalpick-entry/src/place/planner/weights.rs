//! How many loads the weight store allows.

use quetzalpick_core::id::{Artifact, Endpoint};

use super::{LOAD, MS_PER_S, Planner, load_ms};
use crate::config::{Engine, Model};
use crate::place::{Action, Order, Site};

/// Time by which an entry may be older than what is on its engine's disk, in ms.
const ENTRY_AGE_MS: u64 = 2_500;

impl Planner {
    /// Adds the loads that the weight store has allowed since the last time.
    pub(super) fn fill(&mut self, now_ms: u64, engine: &Engine) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        let added = elapsed_ms * engine.loads_per_1000_s / MS_PER_S;
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
        engine: &Engine,
        site: &Site,
        model: &Artifact,
    ) -> bool {
        let model = engine.models.iter().find(|m| m.name == *model);
        let from_store = model.is_none_or(|model| may_be_from_store(now_ms, site, model));
        !from_store || (self.loads >= LOAD && self.loading.len() < self.loads_at_once(engine))
    }

    /// Returns how many loads from the weight store may be under way.
    fn loads_at_once(&self, engine: &Engine) -> usize {
        let slowest_ms = engine.models.iter().map(|model| model.load_ms).max();
        let under_way = engine.loads_per_1000_s * slowest_ms.unwrap_or_default();
        let steady = usize::try_from(under_way / (LOAD * MS_PER_S)).unwrap_or_default();
        steady.max(self.options.loads_at_once)
    }

    /// Notes that a load from the weight store begins.
    pub(super) fn begin_load(
        &mut self,
        now_ms: u64,
        engine: &Engine,
        endpoint: &Endpoint,
        order: &Order,
    ) {
        let model = engine.models.iter().find(|m| m.name == order.model);
        let (Some(model), Some(site)) = (model, self.sites.get_mut(endpoint)) else {
            return;
        };
        if order.action != Action::Load || !may_be_from_store(now_ms, site, model) {
            return;
        }
        let (took_ms, from_store) = load_ms(site, model);
        if from_store {
            site.stored_ms = Some(now_ms + took_ms);
        }
        self.loads = self.loads.saturating_sub(LOAD);
        self.loading.push(now_ms + took_ms);
    }
}

/// Tells whether a load may be from the weight store.
///
/// A load from there takes the place of another model on the engine's disk, which its entry shows only later.
fn may_be_from_store(now_ms: u64, site: &Site, model: &Model) -> bool {
    let (_, from_store) = load_ms(site, model);
    from_store || site.stored_ms.is_some_and(|at| now_ms < at + ENTRY_AGE_MS)
}
