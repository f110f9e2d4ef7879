//! Which engine loads an adapter that was asked for.

use quetzalpick_core::id::{Artifact, Endpoint};

use super::{Place, Planner};
use crate::place::copy::model_of;
use crate::place::room::has_place;
use crate::place::{Action, Copy, EngineState, Order, Send};

impl Planner {
    /// Plans adapters that were asked for and that no engine holds or loads.
    pub(super) fn plan_adapters(&mut self, now_ms: u64, place: &Place<'_>, sends: &mut Vec<Send>) {
        let wanted: Vec<Artifact> = self.wanted.keys().cloned().collect();
        for adapter in wanted {
            let usable = self.engines.values().filter(|engine| engine.is_usable());
            if usable.into_iter().any(|engine| engine.expects(&adapter)) {
                continue;
            }
            let model = model_of(&adapter);
            let Some((endpoint, action, artifact)) =
                self.adapter_step(now_ms, place, &model, &adapter)
            else {
                continue;
            };
            let order = Order {
                action,
                model: model_of(&artifact),
                adapter: Some(artifact),
                expected_orders: 0,
            };
            self.send(&endpoint, order, "wanted", sends);
        }
    }

    /// Picks the engine for an adapter: one with a free place, or else the one whose adapter was used least recently.
    fn adapter_step(
        &self,
        now_ms: u64,
        place: &Place<'_>,
        model: &Artifact,
        adapter: &Artifact,
    ) -> Option<(Endpoint, Action, Artifact)> {
        let idle = |engine: &EngineState| {
            engine.spec.service == *place.service && engine.is_idle(now_ms) && engine.holds(model)
        };
        let engines: Vec<_> = self
            .engines
            .iter()
            .filter(|(_, engine)| idle(engine))
            .collect();
        let roomy = engines
            .iter()
            .filter(|(_, engine)| has_place(place.spec, engine, adapter));
        let least =
            roomy.min_by_key(|(name, engine)| (engine.adapters().count(), place.load(name)));
        if let Some((endpoint, _)) = least {
            return Some(((*endpoint).clone(), Action::Load, adapter.clone()));
        }
        let held = |(endpoint, engine): &(&Endpoint, &EngineState)| {
            let held = engine.adapters().filter(|copy| copy.is_held());
            let work = |copy: &Copy| self.work.get(&copy.artifact).copied().unwrap_or_default();
            let oldest = held.min_by_key(|copy| (copy.used_ms, work(copy)))?;
            let key = (oldest.used_ms, work(oldest));
            Some((key, (*endpoint).clone(), oldest.artifact.clone()))
        };
        let (_, endpoint, oldest) = engines.iter().filter_map(held).min()?;
        Some((endpoint, Action::Unload, oldest))
    }
}
