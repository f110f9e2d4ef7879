//! Selects the engine that loads a requested adapter.

use quetzalpick_core::id::{Artifact, Endpoint};

use super::{PlannedService, Planner};
use crate::place::capacity::fits_adapter;
use crate::place::copy::model_of;
use crate::place::{Action, Copy, EngineState, Order, PlannedOrder};

impl Planner {
    /// Plans loads of requested adapters that no engine holds or loads.
    pub(super) fn plan_adapters(
        &mut self,
        now_ms: u64,
        service: &PlannedService<'_>,
        planned_orders: &mut Vec<PlannedOrder>,
    ) {
        let requested: Vec<Artifact> = self.adapter_requests.keys().cloned().collect();
        for adapter in requested {
            let mut engines = self.engines_for(&adapter);
            if engines.any(|(_, engine)| engine.will_hold(&adapter)) {
                continue;
            }
            drop(engines);
            let model = model_of(&adapter);
            let Some((endpoint, action, artifact)) =
                self.next_adapter_step(now_ms, service, &model, &adapter)
            else {
                continue;
            };
            let order = Order {
                action,
                model: model_of(&artifact),
                adapter: Some(artifact),
                expected_orders: 0,
            };
            self.issue(&endpoint, order, "wanted", planned_orders);
        }
    }

    /// Picks the engine for an adapter: the one with the fewest adapters among those with capacity, or else the one with the
    /// least recently used adapter, which is unloaded.
    fn next_adapter_step(
        &self,
        now_ms: u64,
        service: &PlannedService<'_>,
        model: &Artifact,
        adapter: &Artifact,
    ) -> Option<(Endpoint, Action, Artifact)> {
        let is_candidate = |engine: &EngineState| {
            engine.spec.service == *service.name && engine.is_idle(now_ms) && engine.holds(model)
        };
        let engines = self.engines_for(adapter);
        let engines: Vec<_> = engines.filter(|(_, engine)| is_candidate(engine)).collect();
        let with_capacity = engines
            .iter()
            .filter(|(_, engine)| fits_adapter(service.spec, engine, adapter));
        let least_loaded = with_capacity
            .min_by_key(|(name, engine)| (engine.adapters().count(), service.work_at(name)));
        if let Some((endpoint, _)) = least_loaded {
            return Some(((*endpoint).clone(), Action::Load, adapter.clone()));
        }
        let oldest_adapter = |(endpoint, engine): &(&Endpoint, &EngineState)| {
            let held = engine.adapters().filter(|copy| copy.is_held());
            let work = |copy: &Copy| self.work.get(&copy.artifact).copied().unwrap_or_default();
            let oldest = held.min_by_key(|copy| (copy.used_ms, work(copy)))?;
            let key = (oldest.used_ms, work(oldest));
            Some((key, (*endpoint).clone(), oldest.artifact.clone()))
        };
        let (_, endpoint, oldest) = engines.iter().filter_map(oldest_adapter).min()?;
        Some((endpoint, Action::Unload, oldest))
    }
}
