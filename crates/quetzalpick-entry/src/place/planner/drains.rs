//! Copies that are drained before they are unloaded.

use quetzalpick_core::id::{Artifact, Endpoint};

use super::Planner;
use crate::place::{Action, EngineState, Order, PlannedOrder};

impl Planner {
    /// Returns draining copies to service if no other copy of their model is left, unless they are evicted for a model without
    /// a copy that has more demand.
    pub(super) fn cancel_drains(&mut self, now_ms: u64) {
        let draining = |(endpoint, engine): (&Endpoint, &EngineState)| {
            let model = engine.draining().filter(|_| engine.open_order.is_none())?;
            Some((endpoint.clone(), model.clone()))
        };
        let draining: Vec<_> = self.engines.iter().filter_map(draining).collect();
        for (endpoint, model) in draining {
            let will_serve = |engine: &EngineState| engine.is_usable() && engine.will_keep(&model);
            if self.engines.values().any(will_serve) || self.is_preempted(&endpoint, &model) {
                continue;
            }
            if let Some(engine) = self.engines.get_mut(&endpoint) {
                engine.cancel_drain(now_ms, model);
            }
        }
    }

    /// Returns whether a model is evicted from an engine for one without a copy that has more demand. Where moves are weighed by estimates,
    /// the eviction stands as long as that one is requested: what was observed last may say the contrary for a moment.
    fn is_preempted(&self, endpoint: &Endpoint, model: &Artifact) -> bool {
        let engine = self.engines.get(endpoint);
        let Some(reserved_for) = engine.and_then(|engine| engine.reserved_for.as_ref()) else {
            return false;
        };
        let work = |model: &Artifact| self.work.get(model).copied().unwrap_or_default();
        let least = match self.hysteresis() {
            Some(_) => 0,
            None => work(model),
        };
        !self.is_held(reserved_for) && work(reserved_for) > least
    }

    /// Unloads drained models.
    pub(super) fn unload_drained(&mut self, now_ms: u64, planned_orders: &mut Vec<PlannedOrder>) {
        let drained = |(endpoint, engine): (&Endpoint, &EngineState)| {
            let model = engine.drained(now_ms).filter(|_| engine.is_idle(now_ms))?;
            Some((endpoint.clone(), model.clone()))
        };
        let due: Vec<_> = self.engines.iter().filter_map(drained).collect();
        for (endpoint, model) in due {
            let order = Order {
                action: Action::Unload,
                model,
                adapter: None,
                expected_orders: 0,
            };
            self.issue(&endpoint, order, "room", planned_orders);
        }
    }
}
