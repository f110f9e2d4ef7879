//! Selects models that get another copy, and copies that are evicted for them.

use quetzalpick_core::id::{Artifact, Endpoint};

use super::eviction::EvictionCosts;
use super::{PlannedService, Planner, WORK_PER_LOAD_MS, load_ms};
use crate::config::EngineSpec;
use crate::place::capacity::{free_mb, memory_mb};
use crate::place::copy::is_adapter;
use crate::place::engine_state::DRAIN_MS;
use crate::place::model::{ModelDemand, model_demands};
use crate::place::{Action, EngineState, Order, PlannedOrder, Work};

impl Planner {
    /// Plans loads of the models with the highest gain, and evictions that free memory for them.
    pub(super) fn plan_models(
        &mut self,
        now_ms: u64,
        service: &PlannedService<'_>,
        planned_orders: &mut Vec<PlannedOrder>,
    ) {
        let spec = service.spec;
        self.cancel_drains(now_ms);
        self.unload_drained(now_ms, planned_orders);
        self.load_reserved(now_ms, spec, planned_orders);
        // Each step changes the gains of the others.
        for _ in 0..spec.models.len() {
            let model_demands = model_demands(spec, &self.engines, &self.work);
            let eviction_costs = EvictionCosts::new(service.name, &model_demands, &self.engines);
            let steps = model_demands
                .iter()
                .filter(|demand| demand.gain() >= self.options.min_fill_gain);
            let step = steps
                .into_iter()
                .find_map(|demand| self.next_model_step(now_ms, service, demand, &eviction_costs));
            let Some((endpoint, action, artifact, reserved_for)) = step else {
                return;
            };
            let order = Order {
                action,
                model: artifact,
                adapter: None,
                expected_orders: 0,
            };
            match (reserved_for, self.engines.get_mut(&endpoint)) {
                (Some(reserved_for), Some(engine)) => {
                    engine.drain(now_ms, order.model, Some(reserved_for))
                }
                _ => {
                    self.record_load_start(now_ms, spec, &endpoint, &order);
                    self.issue(&endpoint, order, "demand", planned_orders);
                }
            }
        }
    }

    /// Returns draining copies to service if no other copy of their model is left, unless they are evicted for a model without
    /// a copy that has more demand.
    fn cancel_drains(&mut self, now_ms: u64) {
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

    /// Returns whether a model is evicted from an engine for one without a copy that has more demand.
    fn is_preempted(&self, endpoint: &Endpoint, model: &Artifact) -> bool {
        let engine = self.engines.get(endpoint);
        let Some(reserved_for) = engine.and_then(|engine| engine.reserved_for.as_ref()) else {
            return false;
        };
        let work = |model: &Artifact| self.work.get(model).copied().unwrap_or_default();
        !self.is_held(reserved_for) && work(reserved_for) > work(model)
    }

    /// Unloads drained models.
    fn unload_drained(&mut self, now_ms: u64, planned_orders: &mut Vec<PlannedOrder>) {
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

    /// Loads models on engines whose memory was freed for them.
    fn load_reserved(
        &mut self,
        now_ms: u64,
        spec: &EngineSpec,
        planned_orders: &mut Vec<PlannedOrder>,
    ) {
        let due_load = |(endpoint, engine): (&Endpoint, &EngineState)| {
            let model = engine.reserved_for.clone()?;
            let fits = free_mb(spec, engine) >= memory_mb(spec, &model);
            (engine.is_idle(now_ms) && fits).then(|| (endpoint.clone(), model))
        };
        let due: Vec<_> = self.engines.iter().filter_map(due_load).collect();
        for (endpoint, model) in due {
            // Each load leaves less to the others.
            let engine = self.engines.get(&endpoint);
            if !engine.is_some_and(|engine| self.may_load(now_ms, spec, engine, &model)) {
                continue;
            }
            let order = Order {
                action: Action::Load,
                model,
                adapter: None,
                expected_orders: 0,
            };
            self.record_load_start(now_ms, spec, &endpoint, &order);
            self.issue(&endpoint, order, "promised", planned_orders);
        }
    }

    /// Finds the cheapest way to get one more copy of a model: a load where memory is free, or an eviction that frees it.
    fn next_model_step(
        &self,
        now_ms: u64,
        service: &PlannedService<'_>,
        demand: &ModelDemand<'_>,
        eviction_costs: &EvictionCosts,
    ) -> Option<(Endpoint, Action, Artifact, Option<Artifact>)> {
        let spec = service.spec;
        let model = &demand.model.name;
        let is_candidate = |engine: &EngineState| {
            let is_free = engine.is_idle(now_ms) && engine.reserved_for.is_none();
            let is_free = is_free && engine.limit.is_none();
            engine.spec.service == *service.name
                && is_free
                && !engine.copies.iter().any(|c| c.artifact == *model)
        };
        let engines: Vec<_> = self
            .engines
            .iter()
            .filter(|(_, engine)| is_candidate(engine))
            .collect();
        let may_load = |engine: &EngineState| self.may_load(now_ms, spec, engine, model);
        let load_time_ms = |endpoint: &Endpoint, engine: &EngineState| {
            load_ms(engine, demand.model).0 + service.work_at(endpoint) / WORK_PER_LOAD_MS
        };
        let load = |(endpoint, engine): &(&Endpoint, &EngineState)| {
            let fits = free_mb(spec, engine) >= demand.model.memory_mb && may_load(engine);
            let cost = demand.delay_cost(load_time_ms(endpoint, engine));
            fits.then(|| (cost, (*endpoint).clone(), Action::Load, model.clone()))
        };
        let is_demand_known = now_ms >= self.demand_known_ms;
        let may_evict = is_demand_known && demand.gain() >= self.options.min_eviction_gain;
        let unload = |(endpoint, engine): &(&Endpoint, &EngineState)| {
            let (cost, victim) = self.victim(spec, engine, demand, eviction_costs)?;
            let wait_ms = DRAIN_MS + load_time_ms(endpoint, engine);
            let cost = cost + demand.delay_cost(wait_ms);
            may_load(engine).then(|| (cost, (*endpoint).clone(), Action::Unload, victim))
        };
        let loads = engines.iter().filter_map(load);
        let unloads = engines.iter().filter(|_| may_evict).filter_map(unload);
        let (_, endpoint, action, artifact) = loads.chain(unloads).min()?;
        let reserved_for = (action == Action::Unload).then(|| model.clone());
        Some((endpoint, action, artifact, reserved_for))
    }

    /// Finds the model on an engine whose eviction costs least and frees enough memory; returns that cost, which includes the
    /// delay until the memory is free.
    fn victim(
        &self,
        spec: &EngineSpec,
        engine: &EngineState,
        demand: &ModelDemand<'_>,
        eviction_costs: &EvictionCosts,
    ) -> Option<(Work, Artifact)> {
        let gain = demand.gain();
        let ratio = self.options.min_eviction_ratio_percent;
        let free = free_mb(spec, engine);
        let held = engine.copies.iter().filter(|copy| copy.is_held());
        // Only a model that is requested and has no copy may evict another model's last copy.
        let is_unserved = demand.copies == 0 && demand.work > 0;
        let cost = |artifact: &Artifact| {
            let Some(eviction_cost) = eviction_costs.get(artifact) else {
                return Some(0);
            };
            let loss = eviction_cost
                .loss
                .or(is_unserved.then_some(eviction_cost.availability_value))?;
            let loss = loss + eviction_costs.build_loss(engine, artifact);
            let is_worth_it = gain * 100 >= loss * ratio;
            is_worth_it.then(|| loss + demand.delay_cost(eviction_cost.completion_ms))
        };
        held.filter(|copy| !is_adapter(&copy.artifact))
            .filter(|copy| free + memory_mb(spec, &copy.artifact) >= demand.model.memory_mb)
            .filter_map(|copy| Some((cost(&copy.artifact)?, copy.artifact.clone())))
            .min()
    }
}
