//! Plans the next order for each engine, on the leader.

mod adapters;
mod demands;
mod drains;
mod eviction;
mod models;
mod options;
mod selection;
mod weights;

pub use options::{Hysteresis, Options};

use std::net::SocketAddr;

use quetzalpick_core::id::{Artifact, Endpoint, Service};
use quetzalpick_core::limit::Rate;
use quetzalpick_core::table::Table;

use crate::config::{Config, EngineSpec, Model};
use crate::fleet::Spec;
use crate::place::copy::model_of;
use crate::place::engine_state::USUAL_PACE;
use crate::place::estimate::Estimates;
use crate::place::{EngineState, Order, OrderResult, Report, Work};

/// `PlannedOrder` holds an order, its destination and its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine.
    pub endpoint: Endpoint,
    /// Address of its administration interface.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// Reason for the order, for the log.
    pub reason: &'static str,
}

/// Tokens of one load: the bucket counts thousandths of a load.
const TOKENS_PER_LOAD: u64 = 1_000;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// `Planner` tracks the engines of all services, and plans at most one open order for each engine.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    engines: Table<Endpoint, EngineState>,
    work: Table<Artifact, Work>,
    estimates: Estimates,
    /// Models that were evicted, with the time of the last eviction, in ms.
    evictions: Table<Artifact, u64>,
    /// Requested adapters that no engine holds, with the time of the last request, in ms.
    adapter_requests: Table<Artifact, u64>,
    /// Loads from the weight store that may begin, in thousandths of a load.
    load_tokens: u64,
    refilled_ms: u64,
    /// No model is placed before this time, in ms, because further engines may not have been observed yet; `None` before the
    /// first observation.
    discovery_ends_ms: Option<u64>,
    /// Expected ends of the running loads from the weight store, in ms.
    load_ends_ms: Vec<u64>,
    /// Time of the next plan for models, in ms; adapters are planned more often.
    next_model_plan_ms: u64,
    /// No model is evicted before this time, in ms, because the demand is not known yet.
    demand_known_ms: u64,
    /// Whether this VM reaches no engines itself, so that a missing report says nothing about an engine.
    is_disconnected: bool,
    /// Whether loads take so long that moves are weighed.
    weighs_moves: bool,
}

/// `PlannedService` holds a service's configuration and load during one planning round.
#[derive(Debug)]
struct PlannedService<'a> {
    name: &'a Service,
    spec: &'a EngineSpec,
    /// Work at each engine if demand is spread evenly over copies.
    engine_work: Table<Endpoint, Work>,
}

impl PlannedService<'_> {
    fn work_at(&self, endpoint: &Endpoint) -> Work {
        self.engine_work.get(endpoint).copied().unwrap_or_default()
    }
}

/// Interval between two plans for models, in ms.
const MODEL_PLAN_INTERVAL_MS: u64 = 100;

impl Planner {
    /// Creates a planner without engines; its first load from the weight store waits until the rate allows one.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            options,
            engines: Table::default(),
            work: Table::default(),
            estimates: Estimates::default(),
            evictions: Table::default(),
            adapter_requests: Table::default(),
            load_tokens: 0,
            refilled_ms: now_ms,
            discovery_ends_ms: None,
            load_ends_ms: Vec::new(),
            next_model_plan_ms: now_ms,
            demand_known_ms: now_ms,
            is_disconnected: false,
            weighs_moves: false,
        }
    }

    /// Sets the time before which no model is evicted: after a start, models that nobody has asked for yet look as if they were not
    /// needed.
    pub fn set_demand_known_ms(&mut self, demand_known_ms: u64) {
        self.demand_known_ms = demand_known_ms;
    }

    /// Returns the engines.
    pub fn engines(&self) -> &Table<Endpoint, EngineState> {
        &self.engines
    }

    /// Replaces the entries of all engines; engines without an entry are removed once they have no open order.
    pub fn observe(&mut self, now_ms: u64, config: &Config, specs: Vec<(Endpoint, Spec)>) {
        if self.engines.is_empty() {
            // A planner that starts with known engines needs no discovery period.
            let entries_known = self.discovery_ends_ms.is_none() && !specs.is_empty();
            let wait_ms = if entries_known {
                0
            } else {
                self.options.discovery_ms
            };
            self.discovery_ends_ms = Some(now_ms + wait_ms);
        }
        for (_, engine) in self.engines.iter_mut() {
            engine.has_entry = false;
        }
        let is_engine = |(_, spec): &(Endpoint, Spec)| engine_spec(config, &spec.service).is_some();
        for (endpoint, spec) in specs.into_iter().filter(is_engine) {
            match self.engines.get_mut(&endpoint) {
                Some(engine) if engine.spec == spec => engine.has_entry = true,
                Some(engine) => engine.observe(now_ms, spec),
                None => drop(
                    self.engines
                        .insert(endpoint, EngineState::new(now_ms, spec)),
                ),
            }
        }
        self.engines
            .retain(|_, engine| engine.has_entry || engine.open_order.is_some());
    }

    /// Applies an engine's report that was requested at `requested_ms`.
    pub fn apply_report(
        &mut self,
        requested_ms: u64,
        now_ms: u64,
        endpoint: &Endpoint,
        report: &Report,
    ) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.apply_report(requested_ms, now_ms, report);
        }
    }

    /// Records that an engine didn't answer a request for its report.
    pub fn record_report_failure(&mut self, endpoint: &Endpoint) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.unreachable = true;
            engine.down |= engine.suspected && !self.is_disconnected;
        }
    }

    /// Sets whether this VM reaches no engines itself. Engines that seemed to be down just before are not taken to be.
    pub fn set_disconnected(&mut self, is_disconnected: bool) {
        self.is_disconnected = is_disconnected;
        if is_disconnected {
            let engines = self.engines.iter_mut();
            engines.for_each(|(_, engine)| engine.down = false);
        }
    }

    /// Marks engines as unreachable until their next report.
    pub fn mark_unreachable(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            if let Some(engine) = self.engines.get_mut(endpoint) {
                engine.unreachable = true;
            }
        }
    }

    /// Replaces the engines that any VM suspects, sorted; they are asked for reports.
    pub fn set_suspected(&mut self, endpoints: &[Endpoint]) {
        for (endpoint, engine) in self.engines.iter_mut() {
            engine.suspected = endpoints.binary_search(endpoint).is_ok();
        }
    }

    /// Replaces the engines that want no calls of this VM now, sorted.
    pub fn set_paused(&mut self, endpoints: &[Endpoint]) {
        for (endpoint, engine) in self.engines.iter_mut() {
            engine.paused = endpoints.binary_search(endpoint).is_ok();
        }
    }

    /// Replaces the engines in evacuated failure domains, sorted: their copies do not count, and they get no orders.
    pub fn set_evacuated(&mut self, endpoints: &[Endpoint]) {
        for (endpoint, engine) in self.engines.iter_mut() {
            engine.evacuated = endpoints.binary_search(endpoint).is_ok();
        }
    }

    /// Returns the artifacts that serve at each engine whose copies are known from its reports: its entry may be older than what
    /// VMs know from the former leader. An engine that is down holds nothing, unless half of the engines seem to be down: then
    /// this VM itself may be disconnected.
    pub fn held_copies(&self) -> Vec<(Endpoint, Vec<Artifact>)> {
        let down = self.engines.values().filter(|engine| engine.down).count();
        let is_trusted = down * 2 < self.engines.len();
        let held = |engine: &EngineState| {
            if engine.down && is_trusted {
                return Some(Vec::new());
            }
            engine.is_reported().then(|| engine.held())
        };
        let engines = self.engines.iter();
        engines
            .filter_map(|(endpoint, engine)| Some((endpoint.clone(), held(engine)?)))
            .collect()
    }

    /// Replaces the total demand of all VMs.
    pub fn set_demand(&mut self, now_ms: u64, work: Table<Artifact, Work>) {
        for (_, engine) in self.engines.iter_mut() {
            let is_requested = |artifact: &Artifact| work.contains(artifact);
            let used = engine
                .copies
                .iter_mut()
                .filter(|copy| is_requested(&copy.artifact));
            used.for_each(|copy| copy.used_ms = now_ms);
        }
        self.estimates.update(now_ms, &work);
        self.work = work;
    }

    /// Records a request for an adapter that no engine holds.
    pub fn request_adapter(&mut self, now_ms: u64, adapter: Artifact) {
        self.adapter_requests.insert(adapter, now_ms);
    }

    /// Returns whether any engine that counts for an artifact holds it.
    pub fn is_held(&self, artifact: &Artifact) -> bool {
        let mut engines = self.engines_for(artifact);
        engines.any(|(_, engine)| engine.holds(artifact))
    }

    /// Returns the usable engines that count for a model or adapter: one that names a limit counts only if no other engine holds
    /// the model.
    fn engines_for(&self, artifact: &Artifact) -> impl Iterator<Item = (&Endpoint, &EngineState)> {
        let model = model_of(artifact);
        let mut engines = self.engines.values();
        let others_hold = engines.any(|engine| engine.takes_load() && engine.holds(&model));
        let usable = self.engines.iter().filter(|(_, engine)| engine.is_usable());
        usable.filter(move |(_, engine)| engine.takes_load() || !others_hold)
    }

    /// Applies the result of an engine's open order, `None` if it wasn't answered, and returns that order.
    pub fn apply_result(
        &mut self,
        now_ms: u64,
        config: &Config,
        endpoint: &Endpoint,
        result: Option<OrderResult>,
    ) -> Option<Order> {
        let engine = self.engines.get_mut(endpoint)?;
        let order = engine.open_order.as_ref()?.order.clone();
        let spec = engine_spec(config, &engine.spec.service);
        let model = spec.and_then(|spec| spec.model(&order.model));
        let duration_ms = model.map_or(MS_PER_S, |model| load_ms(engine, model).0);
        engine.apply_result(now_ms, result, duration_ms);
        if let Some(adapter) = order.adapter.as_ref().filter(|a| engine.will_hold(a)) {
            self.adapter_requests.remove(adapter);
        }
        Some(order)
    }

    /// Marks adapters as held whose expected load time has passed; returns whether there were any.
    pub fn finish_adapter_loads(&mut self, now_ms: u64) -> bool {
        let engines = self.engines.iter_mut();
        engines.fold(false, |any, (_, engine)| {
            engine.finish_adapter_loads(now_ms) || any
        })
    }

    /// Returns whether any engine is loading or unloading an adapter.
    pub fn is_loading_adapters(&self) -> bool {
        let loads = |engine: &EngineState| engine.adapters().any(|copy| !copy.is_held());
        self.engines.values().any(loads)
    }

    /// Records that an engine's report was requested; returns whether only the first report on a connection counts.
    pub fn record_report_request(&mut self, now_ms: u64, endpoint: &Endpoint) -> bool {
        let engine = self.engines.get_mut(endpoint);
        engine.is_none_or(|engine| {
            engine.record_report_request(now_ms);
            engine.doubts_reports
        })
    }

    /// Replaces the limits that engines name, sorted by engine.
    pub fn set_limits(&mut self, limits: &[(Endpoint, Rate)]) {
        for (endpoint, engine) in self.engines.iter_mut() {
            let index = limits.binary_search_by_key(&endpoint, |(name, _)| name);
            engine.limit = index.ok().map(|index| limits[index].1);
        }
    }

    /// Replaces the paces of engines in thousandths of their service's usual pace, sorted by engine; others work as usual.
    pub fn set_paces(&mut self, paces: &[(Endpoint, u64)]) {
        for (endpoint, engine) in self.engines.iter_mut() {
            let index = paces.binary_search_by_key(&endpoint, |(name, _)| name);
            engine.pace = index.map_or(USUAL_PACE, |index| paces[index].1);
        }
    }

    /// Returns the engines whose reports are due to be requested.
    pub fn due_reports(&self, now_ms: u64) -> Vec<(Endpoint, SocketAddr)> {
        let is_due = |engine: &EngineState| engine.has_entry && engine.is_report_due(now_ms);
        let engines = self.engines.iter().filter(|(_, engine)| is_due(engine));
        engines
            .map(|(e, engine)| (e.clone(), engine.spec.address))
            .collect()
    }

    /// Returns by what moves are weighed; `None` if the gain and the loss of the moment decide.
    pub(super) fn hysteresis(&self) -> Option<&Hysteresis> {
        self.options
            .hysteresis
            .as_ref()
            .filter(|_| self.weighs_moves)
    }

    /// Plans the orders to send now, and marks them as sent.
    pub fn plan(&mut self, now_ms: u64, config: &Config) -> Vec<PlannedOrder> {
        let oldest_ms = now_ms.saturating_sub(self.options.adapter_request_ttl_ms);
        self.adapter_requests.retain(|_, at| *at >= oldest_ms);
        self.load_ends_ms.retain(|until_ms| *until_ms > now_ms);
        let hysteresis = self.options.hysteresis.as_ref();
        self.weighs_moves = hysteresis.is_some_and(|it| has_slow_loads(config, it.min_load_ms));
        self.forget_evictions(now_ms);
        let mut planned_orders = self.resend(now_ms);
        let is_discovered = self.discovery_ends_ms.is_some_and(|at| now_ms >= at);
        let plans_models = is_discovered && now_ms >= self.next_model_plan_ms;
        if plans_models {
            self.next_model_plan_ms = now_ms + MODEL_PLAN_INTERVAL_MS;
        }
        for service in config.services().values() {
            if let Some(spec) = &service.engine {
                self.refill_load_tokens(now_ms, spec);
                if !plans_models && self.adapter_requests.is_empty() {
                    continue;
                }
                let planned_service = PlannedService {
                    name: &service.name,
                    spec,
                    engine_work: self.work_by_engine(),
                };
                self.plan_adapters(now_ms, &planned_service, &mut planned_orders);
                if plans_models {
                    self.plan_models(now_ms, &planned_service, &mut planned_orders);
                }
            }
        }
        planned_orders
    }

    /// Returns unanswered orders that are due to be resent.
    fn resend(&mut self, now_ms: u64) -> Vec<PlannedOrder> {
        let mut planned_orders = Vec::new();
        for (endpoint, engine) in self
            .engines
            .iter_mut()
            .filter(|(_, engine)| engine.has_entry)
        {
            if let Some(order) = engine.resend(now_ms) {
                planned_orders.push(PlannedOrder {
                    endpoint: endpoint.clone(),
                    address: engine.spec.address,
                    order,
                    reason: "unanswered",
                });
            }
        }
        planned_orders
    }

    /// Returns the work at each engine if demand is spread evenly over copies.
    fn work_by_engine(&self) -> Table<Endpoint, Work> {
        let mut copy_counts: Table<&Artifact, u64> = Table::default();
        let usable = self.engines.values().filter(|engine| engine.takes_load());
        for model in usable.flat_map(EngineState::held_models) {
            *copy_counts.get_or_insert_with(model, || 0) += 1;
        }
        let share = |model: &Artifact| {
            let work = self.work.get(model).copied().unwrap_or_default();
            work / copy_counts.get(&model).copied().unwrap_or_default().max(1)
        };
        let load = |engine: &EngineState| engine.held_models().map(share).sum();
        let engines = self.engines.iter();
        engines
            .map(|(endpoint, engine)| (endpoint.clone(), load(engine)))
            .collect()
    }

    /// Marks an order as sent and adds it to the planned orders.
    fn issue(
        &mut self,
        endpoint: &Endpoint,
        mut order: Order,
        reason: &'static str,
        planned_orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let Some(accepted_orders) = engine.accepted_orders else {
            return;
        };
        order.expected_orders = accepted_orders;
        engine.begin_order(order.clone());
        planned_orders.push(PlannedOrder {
            endpoint: endpoint.clone(),
            address: engine.spec.address,
            order,
            reason,
        });
    }
}

/// Work at an engine that is weighted like one millisecond of load time.
const WORK_PER_LOAD_MS: Work = 100;

/// Returns whether the models of any service take some time to load from the weight store, in the mean.
fn has_slow_loads(config: &Config, min_load_ms: u64) -> bool {
    let services = config.services().values();
    let mut engines = services.filter_map(|service| service.engine.as_ref());
    engines.any(|engine| {
        let total_ms: u64 = engine.models.iter().map(|model| model.load_ms).sum();
        total_ms >= min_load_ms.saturating_mul(engine.models.len() as u64)
    })
}

/// Returns the engine configuration of a service, if it has model engines.
fn engine_spec<'a>(config: &'a Config, service: &Service) -> Option<&'a EngineSpec> {
    config.services().get(service)?.engine.as_ref()
}

/// Returns the load time of a model on an engine, in ms, and whether it is read from the weight store.
fn load_ms(engine: &EngineState, model: &Model) -> (u64, bool) {
    let holds = |list: &[Artifact]| list.binary_search(&model.name).is_ok();
    if holds(&engine.spec.in_memory) {
        (model.host_load_ms, false)
    } else if holds(&engine.spec.on_disk) {
        (model.disk_load_ms, false)
    } else {
        (model.load_ms, true)
    }
}
