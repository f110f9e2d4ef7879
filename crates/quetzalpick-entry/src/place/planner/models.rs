//! Selects models that get another copy, and copies that are evicted for them.

use std::cmp::Reverse;

use quetzalpick_core::id::{Artifact, Endpoint};

use super::selection::{Move, Selection};
use super::{PlannedService, Planner};
use crate::config::EngineSpec;
use crate::place::capacity::{free_mb, memory_mb};
use crate::place::{Action, Order, PlannedOrder, Work};

impl Planner {
    /// Plans loads of the models with the highest gain, and evictions that free memory for them.
    pub(super) fn plan_models(
        &mut self,
        now_ms: u64,
        service: &PlannedService<'_>,
        planned_orders: &mut Vec<PlannedOrder>,
    ) {
        self.cancel_drains(now_ms);
        self.unload_drained(now_ms, planned_orders);
        self.load_reserved(now_ms, service.spec, planned_orders);
        for chosen in Selection::new(self, now_ms, service).moves() {
            let Move {
                endpoint,
                model,
                evicted,
            } = chosen;
            if let Some(victim) = evicted {
                self.evictions.insert(victim.clone(), now_ms);
                if let Some(engine) = self.engines.get_mut(&endpoint) {
                    engine.drain(now_ms, victim, Some(model));
                }
                continue;
            }
            let order = load_order(model);
            self.record_load_start(now_ms, service.spec, &endpoint, &order);
            self.issue(&endpoint, order, "demand", planned_orders);
        }
    }

    /// Returns whether a copy was loaded so recently that it isn't evicted yet.
    pub(super) fn is_held_back(&self, now_ms: u64, loaded_ms: Option<u64>) -> bool {
        let hysteresis = self.hysteresis();
        let held_until_ms =
            hysteresis.and_then(|hysteresis| Some(loaded_ms? + hysteresis.min_hold_ms));
        held_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Forgets the evictions that no longer matter.
    pub(super) fn forget_evictions(&mut self, now_ms: u64) {
        let hysteresis = self.hysteresis();
        let hold_ms = hysteresis.map_or(0, |hysteresis| hysteresis.min_hold_ms);
        self.evictions.retain(|_, at| now_ms < *at + hold_ms);
    }

    /// Returns whether a model was evicted so recently that it isn't loaded for a small gain.
    pub(super) fn was_evicted_recently(&self, now_ms: u64, model: &Artifact) -> bool {
        self.is_held_back(now_ms, self.evictions.get(model).copied())
    }

    /// Loads models on engines whose memory was freed for them, those with the most work for each copy first.
    fn load_reserved(
        &mut self,
        now_ms: u64,
        spec: &EngineSpec,
        planned_orders: &mut Vec<PlannedOrder>,
    ) {
        let mut due: Vec<(Reverse<Work>, Endpoint, Artifact)> = Vec::new();
        for (endpoint, engine) in self.engines.iter() {
            let Some(model) = &engine.reserved_for else {
                continue;
            };
            if engine.is_idle(now_ms) && free_mb(spec, engine) >= memory_mb(spec, model) {
                let has_hysteresis = self.hysteresis().is_some();
                let waiting = if has_hysteresis {
                    self.work_per_copy(model)
                } else {
                    0
                };
                let waiting = Reverse(waiting);
                due.push((waiting, endpoint.clone(), model.clone()));
            }
        }
        due.sort_unstable();
        for (_, endpoint, model) in due {
            // Each load leaves less to the others.
            let engine = self.engines.get(&endpoint);
            if !engine.is_some_and(|engine| self.may_load(now_ms, spec, engine, &model)) {
                continue;
            }
            let order = load_order(model);
            self.record_load_start(now_ms, spec, &endpoint, &order);
            self.issue(&endpoint, order, "promised", planned_orders);
        }
    }

    /// Returns the work that each serving copy of a model has, all of it if there is none.
    fn work_per_copy(&self, model: &Artifact) -> Work {
        let engines = self.engines.values();
        let copies = engines
            .filter(|engine| engine.takes_load() && engine.holds(model))
            .count();
        let work = self.work.get(model).copied().unwrap_or_default();
        work / (copies.max(1) as u64)
    }
}

/// Returns an order to load a model.
fn load_order(model: Artifact) -> Order {
    Order {
        action: Action::Load,
        model,
        adapter: None,
        expected_orders: 0,
    }
}
