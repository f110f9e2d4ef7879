//! The leader's plan: which order goes to which engine next.

mod adapters;
mod models;
mod weights;

use std::net::SocketAddr;

use quetzalpick_core::id::{Artifact, Endpoint, Service};
use quetzalpick_core::table::Table;

use crate::config::{Config, EngineSpec, Model};
use crate::fleet::Spec;
use crate::place::{EngineState, Order, OrderResult, Report, Work};

/// `Options` set when copies move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Least gain of a further copy where there is room, in work.
    pub fill_gain: Work,
    /// Least gain of a further copy that takes another one's room, in work.
    pub move_gain: Work,
    /// A move must gain this many times what it loses, in percent.
    pub move_ratio_percent: u64,
    /// Loads from the weight store under way at once.
    pub loads_at_once: usize,
    /// Loads from the weight store that may begin at once beyond its rate.
    pub loads_burst: u64,
    /// Time for which an adapter that was asked for is loaded, in ms.
    pub wanted_ms: u64,
    /// Time from the first engine on in which further ones may appear before models are moved, in ms.
    pub settle_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fill_gain: 100,
            move_gain: 3_000,
            move_ratio_percent: 200,
            loads_at_once: 2,
            loads_burst: 2,
            wanted_ms: 1_000,
            settle_ms: 3_000,
        }
    }
}

/// `Send` is an order to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// The engine.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// Why it is sent.
    pub reason: &'static str,
}

/// Thousandths of a load in one load.
const LOAD: u64 = 1_000;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// `Planner` knows the engines of all services, and plans one order for each engine at a time.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    engines: Table<Endpoint, EngineState>,
    work: Table<Artifact, Work>,
    /// Adapters asked for that no engine held, and when that was last, in ms.
    wanted: Table<Artifact, u64>,
    /// Loads from the weight store that may begin, in thousandths.
    loads: u64,
    filled_ms: u64,
    /// Before this time no model is moved, in ms: the engines may not be known yet; `None` before the first observation.
    settled_ms: Option<u64>,
    /// Ends of the loads from the weight store under way, in ms.
    loading: Vec<u64>,
    /// Models are not planned before, in ms; adapters are more often.
    next_models_ms: u64,
}

/// `Place` is a service whose engines are planned.
#[derive(Debug)]
struct Place<'a> {
    service: &'a Service,
    spec: &'a EngineSpec,
    /// Work at each engine if demand spreads evenly over copies.
    loads: Table<Endpoint, Work>,
}

impl Place<'_> {
    fn load(&self, endpoint: &Endpoint) -> Work {
        self.loads.get(endpoint).copied().unwrap_or_default()
    }
}

/// Pause between two plans for models, in ms.
const MODELS_PAUSE_MS: u64 = 100;

impl Planner {
    /// Makes a planner that knows no engine; it begins no load from the weight store before the rate allows one.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            options,
            engines: Table::default(),
            work: Table::default(),
            wanted: Table::default(),
            loads: 0,
            filled_ms: now_ms,
            settled_ms: None,
            loading: Vec::new(),
            next_models_ms: now_ms,
        }
    }

    /// Returns the engines.
    pub fn engines(&self) -> &Table<Endpoint, EngineState> {
        &self.engines
    }

    /// Takes in what all engines say of themselves in their entries; those not named are gone.
    pub fn observe(&mut self, now_ms: u64, config: &Config, specs: Vec<(Endpoint, Spec)>) {
        if self.engines.is_empty() {
            // A planner that begins among engines that are known needs no time to know them.
            let known = self.settled_ms.is_none() && !specs.is_empty();
            let wait_ms = if known { 0 } else { self.options.settle_ms };
            self.settled_ms = Some(now_ms + wait_ms);
        }
        for (_, engine) in self.engines.iter_mut() {
            engine.present = false;
        }
        let is_engine = |(_, spec): &(Endpoint, Spec)| engine_spec(config, &spec.service).is_some();
        for (endpoint, spec) in specs.into_iter().filter(is_engine) {
            match self.engines.get_mut(&endpoint) {
                Some(engine) if engine.spec == spec => engine.present = true,
                Some(engine) => engine.observe(now_ms, spec),
                None => drop(
                    self.engines
                        .insert(endpoint, EngineState::new(now_ms, spec)),
                ),
            }
        }
        self.engines
            .retain(|_, engine| engine.present || engine.open.is_some());
    }

    /// Takes in a report of an engine that was asked for at `asked_ms`.
    pub fn reported(&mut self, asked_ms: u64, now_ms: u64, endpoint: &Endpoint, report: &Report) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.reported(asked_ms, now_ms, report);
        }
    }

    /// Notes that an engine did not report when asked.
    pub fn report_failed(&mut self, endpoint: &Endpoint) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.report_failed();
        }
    }

    /// Takes in which engines could not be reached; they count again once they report.
    pub fn lose(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            if let Some(engine) = self.engines.get_mut(endpoint) {
                engine.lost = true;
            }
        }
    }

    /// Takes in which engines any VM doubts, sorted; they are asked whether they are there.
    pub fn set_suspected(&mut self, endpoints: &[Endpoint]) {
        for (endpoint, engine) in self.engines.iter_mut() {
            engine.suspected = endpoints.binary_search(endpoint).is_ok();
        }
    }

    /// Returns what serves at each engine. One that is down holds nothing, unless half of the engines seem to be down: then it may
    /// be this VM that is cut off.
    pub fn holdings(&self) -> Vec<(Endpoint, Vec<Artifact>)> {
        let down = self.engines.values().filter(|engine| engine.down).count();
        let believes = down * 2 < self.engines.len();
        let held = |engine: &EngineState| {
            let is_gone = engine.down && believes;
            if is_gone { Vec::new() } else { engine.held() }
        };
        let engines = self.engines.iter();
        engines
            .map(|(endpoint, engine)| (endpoint.clone(), held(engine)))
            .collect()
    }

    /// Takes in the demand that all VMs see together.
    pub fn demand(&mut self, now_ms: u64, work: Table<Artifact, Work>) {
        for (_, engine) in self.engines.iter_mut() {
            let asked = |artifact: &Artifact| work.contains(artifact);
            let used = engine
                .copies
                .iter_mut()
                .filter(|copy| asked(&copy.artifact));
            used.for_each(|copy| copy.used_ms = now_ms);
        }
        self.work = work;
    }

    /// Notes that an adapter is asked for and no engine holds it.
    pub fn want(&mut self, now_ms: u64, adapter: Artifact) {
        self.wanted.insert(adapter, now_ms);
    }

    /// Tells whether an engine that takes requests holds an artifact.
    pub fn is_held(&self, artifact: &Artifact) -> bool {
        let mut usable = self.engines.values().filter(|engine| engine.is_usable());
        usable.any(|engine| engine.holds(artifact))
    }

    /// Takes in the answer to an order; `None` if there was none. Tells what the order was.
    pub fn settle(
        &mut self,
        now_ms: u64,
        config: &Config,
        endpoint: &Endpoint,
        result: Option<OrderResult>,
    ) -> Option<Order> {
        let engine = self.engines.get_mut(endpoint)?;
        let order = engine.open.as_ref()?.order.clone();
        let spec = engine_spec(config, &engine.spec.service);
        let model = spec.and_then(|e| e.models.iter().find(|m| m.name == order.model));
        let took_ms = model.map_or(MS_PER_S, |model| load_ms(engine, model).0);
        engine.settle(now_ms, result, took_ms);
        if let Some(adapter) = order.adapter.as_ref().filter(|a| engine.expects(a)) {
            self.wanted.remove(adapter);
        }
        Some(order)
    }

    /// Ends adapter loads whose time is over; tells whether any ended.
    pub fn finish_adapters(&mut self, now_ms: u64) -> bool {
        let engines = self.engines.iter_mut();
        engines.fold(false, |any, (_, engine)| {
            engine.finish_adapters(now_ms) || any
        })
    }

    /// Tells whether adapters are being loaded.
    pub fn loads_adapters(&self) -> bool {
        let loads = |engine: &EngineState| engine.adapters().any(|copy| !copy.is_held());
        self.engines.values().any(loads)
    }

    /// Notes that an engine is asked for its report.
    pub fn report_asked(&mut self, now_ms: u64, endpoint: &Endpoint) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.report_asked(now_ms);
        }
    }

    /// Returns the engines whose report is wanted.
    pub fn asks_reports(&self, now_ms: u64) -> Vec<(Endpoint, SocketAddr)> {
        let asks = |engine: &EngineState| engine.present && engine.wants_report(now_ms);
        let engines = self.engines.iter().filter(|(_, engine)| asks(engine));
        engines
            .map(|(e, engine)| (e.clone(), engine.spec.address))
            .collect()
    }

    /// Plans the orders to be sent now, and marks them as being on their way.
    pub fn plan(&mut self, now_ms: u64, config: &Config) -> Vec<Send> {
        let oldest_ms = now_ms.saturating_sub(self.options.wanted_ms);
        self.wanted.retain(|_, at| *at >= oldest_ms);
        self.loading.retain(|until_ms| *until_ms > now_ms);
        let mut sends = self.resend(now_ms);
        let settled = self.settled_ms.is_some_and(|at| now_ms >= at);
        let plans_models = settled && now_ms >= self.next_models_ms;
        if plans_models {
            self.next_models_ms = now_ms + MODELS_PAUSE_MS;
        }
        for service in config.services().values() {
            if let Some(spec) = &service.engine {
                self.fill(now_ms, spec);
                if !plans_models && self.wanted.is_empty() {
                    continue;
                }
                let place = Place {
                    service: &service.name,
                    spec,
                    loads: self.loads(),
                };
                self.plan_adapters(now_ms, &place, &mut sends);
                if plans_models {
                    self.plan_models(now_ms, &place, &mut sends);
                }
            }
        }
        sends
    }

    /// Sends orders again that were not answered.
    fn resend(&mut self, now_ms: u64) -> Vec<Send> {
        let mut sends = Vec::new();
        for (endpoint, engine) in self.engines.iter_mut().filter(|(_, engine)| engine.present) {
            if let Some(order) = engine.resend(now_ms) {
                sends.push(Send {
                    endpoint: endpoint.clone(),
                    address: engine.spec.address,
                    order,
                    reason: "unanswered",
                });
            }
        }
        sends
    }

    /// Returns the work at each engine if demand spreads evenly over copies.
    fn loads(&self) -> Table<Endpoint, Work> {
        let mut holders: Table<&Artifact, u64> = Table::default();
        let usable = self.engines.values().filter(|engine| engine.is_usable());
        for model in usable.flat_map(EngineState::held_models) {
            *holders.get_or_insert_with(model, || 0) += 1;
        }
        let share = |model: &Artifact| {
            let work = self.work.get(model).copied().unwrap_or_default();
            work / holders.get(&model).copied().unwrap_or_default().max(1)
        };
        let load = |engine: &EngineState| engine.held_models().map(share).sum();
        let engines = self.engines.iter();
        engines
            .map(|(endpoint, engine)| (endpoint.clone(), load(engine)))
            .collect()
    }

    /// Marks an order as being on its way and adds it to those to be sent.
    fn send(
        &mut self,
        endpoint: &Endpoint,
        mut order: Order,
        reason: &'static str,
        sends: &mut Vec<Send>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let Some(orders) = engine.orders else { return };
        order.expected_orders = orders;
        engine.send(order.clone());
        sends.push(Send {
            endpoint: endpoint.clone(),
            address: engine.spec.address,
            order,
            reason,
        });
    }
}

/// Work at an engine that counts as much as a millisecond of loading.
const LOAD_COST: Work = 100;

/// Returns the model engines of a service.
fn engine_spec<'a>(config: &'a Config, service: &Service) -> Option<&'a EngineSpec> {
    config.services().get(service)?.engine.as_ref()
}

/// Returns how long a load takes at an engine, in ms, and whether it is from the weight store.
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
