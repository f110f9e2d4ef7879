//! Placement under lost, late and duplicated orders, changes of the leader, and restarts of engines.
//!
//! The oracle checks only the engines: loaded and loading copies never exceed an engine's memory, and unless engines
//! restart, every artifact that was served once keeps a copy on some engine.

mod engine;
mod leader;

use std::collections::BTreeSet;

use quetzalpick_core::dispatch::History;
use quetzalpick_core::id::{Artifact, Endpoint, Member, Offset, Version};
use quetzalpick_core::record::{
    Change, EndpointKind, Entry, ORDER_LATENESS_MS, Operation, Record, Role,
};
use quetzalpick_core::state::{Outcome, State};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use self::engine::Engine;
use crate::script::{
    by, endpoint, join, member, operator, seeds, set_adapter, set_engine, set_model,
};

const TICK_MS: u64 = 200;
const RUN_MS: u64 = 600_000;
const ENGINES: usize = 3;
const MODELS: u64 = 5;
const ADAPTERS: u64 = 4;

type Copy = (Artifact, Version);

/// `Policy` selects the checks that leaders make before they act.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// Follows the ledger and `History`.
    Correct,
    /// Faulty: plans by the engine's report alone, without intents.
    ReportOnly,
    /// Faulty: follows the ledger, but ignores that orders may arrive late.
    IgnoreLateOrders,
    /// Faulty: records claim that the report they are based on is current.
    IgnoreReportAge,
}

/// `Setup` selects the policy and the behaviour of the engines in a run.
#[derive(Debug, Clone, Copy)]
struct Setup {
    policy: Policy,
    checks_fencing: bool,
    restarts: bool,
}

#[derive(Debug, Clone)]
struct Order {
    fencing: u64,
    operation: Operation,
    memory_mb: u64,
}

/// `EngineReport` holds an engine's answer to a request for a report.
struct EngineReport {
    requested_ms: u64,
    as_of: Offset,
    incarnation: u64,
    loaded: Vec<Copy>,
    loading: Vec<Copy>,
    refused: Vec<u64>,
    /// Newest fencing number that the engine has received.
    fencing: u64,
    free_mb: u64,
}

/// `Event` takes place at a given time; the first number is the index of the engine.
enum Event {
    OrderArrives(usize, Order),
    /// With the time of the request in ms, the leader's next offset and the number of the leader.
    ReportRequested(usize, u64, Offset, u64),
    /// With the number of the leader.
    ReportAnswered(usize, u64, Box<EngineReport>),
    EntryAppended(Box<Entry>),
}

struct Leader {
    member: Member,
    history: History,
    /// By engine, the command that is not read back yet and the time at which to stop waiting for it.
    waiting: Vec<Option<(u64, u64)>>,
}

#[derive(Debug, Default)]
struct Counts {
    loads: usize,
    unloads: usize,
    leaders: usize,
    restarts: usize,
}

struct Simulation {
    setup: Setup,
    random: Pcg64,
    now: u64,
    state: State,
    engines: Vec<Engine>,
    events: Vec<(u64, Event)>,
    leader: Leader,
    commands: u64,
    /// Models and adapters that were served at any time.
    placed: BTreeSet<Artifact>,
    versions: [u32; MODELS as usize],
    counts: Counts,
}

fn copy_of(operation: &Operation) -> Copy {
    match operation {
        Operation::Load(name, version) | Operation::Unload(name, version) => {
            (name.clone(), *version)
        }
    }
}

impl Simulation {
    fn new(seed: u64, setup: Setup) -> Self {
        let engine = |at: usize| Engine {
            name: endpoint(&format!("e{at}")),
            incarnation: 1,
            newest_fencing: 0,
            loaded: Vec::new(),
            loading: Vec::new(),
            refused: Vec::new(),
        };
        let mut simulation = Self {
            setup,
            random: Pcg64::seed_from_u64(seed),
            now: 0,
            state: State::default(),
            engines: (0..ENGINES).map(engine).collect(),
            events: Vec::new(),
            leader: Leader {
                member: member("ng-0", 0),
                history: History::new(0, ORDER_LATENESS_MS),
                waiting: vec![None; ENGINES],
            },
            commands: 0,
            placed: BTreeSet::new(),
            versions: [1; MODELS as usize],
            counts: Counts::default(),
        };
        simulation.configure();
        simulation.replace_leader();
        simulation
    }

    fn configure(&mut self) {
        for at in 0..ENGINES {
            self.set_engine(at, 1_000);
        }
        for model in 0..MODELS {
            self.change(set_model(&format!("m{model}"), 1, 150 + 50 * model));
        }
        for adapter in 0..ADAPTERS {
            let base = format!("m{}", adapter % 2);
            self.change(set_adapter(&format!("a{adapter}"), &base, 1, 40));
        }
    }

    fn set_engine(&mut self, at: usize, memory_mb: u64) {
        let port = 9_000 + at as u16;
        let checks = self.setup.checks_fencing;
        self.change(set_engine(&format!("e{at}"), port, memory_mb, checks));
    }

    fn change(&mut self, change: Change) {
        self.commands += 1;
        let entry = operator(self.commands, change);
        self.apply_entry(&entry);
    }

    /// Makes a new member the leader; orders of the former one may still arrive.
    fn replace_leader(&mut self) {
        self.counts.leaders += 1;
        let number = self.counts.leaders as u64;
        let former = std::mem::replace(
            &mut self.leader,
            Leader {
                member: member(&format!("ng-{number}"), number),
                history: History::new(self.now, ORDER_LATENESS_MS),
                waiting: vec![None; ENGINES],
            },
        );
        let leader = self.leader.member.clone();
        self.accept(join(&leader, Role::Keeper));
        if number > 1 {
            self.accept(Record::Suspect(former.member.clone()));
            self.change(Change::RetireVm(former.member.vm));
        }
        self.accept(Record::Lead(leader));
    }

    fn accept(&mut self, record: Record) {
        self.commands += 1;
        let entry = by(self.commands, &self.leader.member, record);
        assert!(matches!(self.apply_entry(&entry), Outcome::Accepted(_)));
    }

    fn apply_entry(&mut self, entry: &Entry) -> Outcome {
        let outcome = self.state.apply(self.state.next(), entry);
        for waiting in &mut self.leader.waiting {
            if waiting.is_some_and(|(command, _)| command == entry.command.1) {
                *waiting = None;
            }
        }
        outcome
    }

    /// Appends a record about an engine; the leader waits up to 2 s to read it back.
    ///
    /// The append may be repeated and may take effect long after the leader stopped waiting.
    fn append(&mut self, at: usize, record: Record) {
        self.commands += 1;
        let entry = Box::new(by(self.commands, &self.leader.member, record));
        self.leader.waiting[at] = Some((self.commands, self.now + 2_000));
        for _ in 0..self.random.random_range(1..3) {
            let max_delay_ms = if self.random.random_bool(0.8) {
                1_500
            } else {
                40_000
            };
            let appended_ms = self.now + self.random.random_range(0..max_delay_ms);
            self.events
                .push((appended_ms, Event::EntryAppended(entry.clone())));
        }
    }

    /// Sends an order, which may be lost, late or duplicated.
    fn send(&mut self, at: usize, order: Order) {
        let name = self.engines[at].name.clone();
        let Leader { history, .. } = &mut self.leader;
        history.sent(&name, &order.operation, self.now);
        for _ in 0..self.random.random_range(0..3) {
            let max_delay_ms = if self.random.random_bool(0.6) {
                500
            } else {
                ORDER_LATENESS_MS
            };
            let arrival_ms = self.now + self.random.random_range(0..max_delay_ms);
            self.events
                .push((arrival_ms, Event::OrderArrives(at, order.clone())));
        }
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.random.random_range(0..count) == 0
    }

    fn run(&mut self) -> Option<String> {
        while self.now < RUN_MS {
            self.now += TICK_MS;
            self.inject_faults();
            self.finish_loads();
            self.deliver();
            let at = self.random.random_range(0..ENGINES);
            let requested_ms = self.now;
            let waiting = &mut self.leader.waiting[at];
            if waiting.is_some_and(|(_, until)| until <= self.now) {
                *waiting = None;
            }
            if waiting.is_none() {
                let leader = self.counts.leaders as u64;
                let arrival_ms = self.now + self.random.random_range(0..600);
                let as_of = self.state.next();
                let event = Event::ReportRequested(at, requested_ms, as_of, leader);
                self.events.push((arrival_ms, event));
            }
            if let Some(violation) = self.check() {
                return Some(violation);
            }
        }
        None
    }

    /// Injects faults and changes the configuration at random.
    fn inject_faults(&mut self) {
        let at = self.random.random_range(0..ENGINES);
        if self.one_in(400) {
            self.replace_leader();
        }
        if self.setup.restarts && self.one_in(400) {
            self.counts.restarts += 1;
            let engine = &mut self.engines[at];
            engine.incarnation += 1;
            engine.newest_fencing = 0;
            engine.loaded.clear();
            engine.loading.clear();
            engine.refused.clear();
        }
        if self.one_in(300) {
            let model = self.random.random_range(0..MODELS);
            self.versions[model as usize] += 1;
            let version = self.versions[model as usize];
            let memory_mb = self.random.random_range(100..350);
            self.change(set_model(&format!("m{model}"), version, memory_mb));
        }
        if self.one_in(200) {
            let draining = self.random.random_bool(0.3);
            self.change(Change::Drain(self.engines[at].name.clone(), draining));
        }
        // The copies of an engine that was not reported yet are unknown, so its configured memory must be the real one.
        let reported = self
            .state
            .ledger()
            .accounts()
            .contains(&self.engines[at].name);
        if reported && self.one_in(200) {
            let memory_mb = self.random.random_range(600..1_200);
            self.set_engine(at, memory_mb);
        }
        if self.one_in(400) {
            self.change(Change::RemoveEndpoint(self.engines[at].name.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let events = std::mem::take(&mut self.events);
        let (due, later): (Vec<_>, Vec<_>) =
            events.into_iter().partition(|(due_ms, _)| *due_ms <= now);
        self.events = later;
        for (_, event) in due {
            match event {
                Event::OrderArrives(at, order) => self.execute_order(at, &order),
                Event::ReportRequested(at, requested_ms, as_of, leader) => {
                    self.answer_report(at, requested_ms, as_of, leader);
                }
                Event::ReportAnswered(at, leader, report) => {
                    let current = leader == self.counts.leaders as u64;
                    if current && self.leader.waiting[at].is_none() {
                        self.handle_report(at, &report);
                    }
                }
                Event::EntryAppended(entry) => drop(self.apply_entry(&entry)),
            }
        }
    }

    fn memory_mb(&self, endpoint: &Endpoint) -> Option<u64> {
        let spec = self.state.catalog().endpoints().get(endpoint)?;
        match spec.kind {
            EndpointKind::Engine { memory_mb, .. } => Some(memory_mb),
            EndpointKind::Service { .. } => None,
        }
    }

    fn check(&mut self) -> Option<String> {
        for engine in &self.engines {
            let memory_mb = self.memory_mb(&engine.name);
            let used_mb = engine.used_mb();
            if memory_mb.is_some_and(|memory_mb| used_mb > memory_mb) {
                let (now, name) = (self.now, &engine.name);
                return Some(format!(
                    "{now} ms: {name} holds {used_mb} MB of {memory_mb:?}"
                ));
            }
        }
        if self.setup.restarts {
            return None;
        }
        let catalog = self.state.catalog();
        let names = catalog.models().keys().chain(catalog.adapters().keys());
        let serves = |name: &&Artifact| self.state.ledger().serving(catalog, name).is_some();
        self.placed.extend(names.filter(serves).cloned());
        let missing = self.placed.iter().find(|name| !self.has_loaded_copy(name));
        missing.map(|name| format!("{} ms: {name} has no copy", self.now))
    }

    /// Returns whether a configured engine has actually loaded a model, or an adapter together with its base.
    fn has_loaded_copy(&self, name: &Artifact) -> bool {
        let catalog = self.state.catalog();
        let holds = |engine: &&Engine, name: &Artifact| {
            engine.loaded.iter().any(|((held, _), _)| held == name)
        };
        let base = catalog.adapters().get(name).map(|adapter| &adapter.base);
        let configured = self
            .engines
            .iter()
            .filter(|e| catalog.endpoints().contains(&e.name));
        configured
            .into_iter()
            .any(|e| holds(&e, name) && base.is_none_or(|base| holds(&e, base)))
    }
}

fn run(seed: u64, setup: Setup) -> (Option<String>, Counts) {
    let mut simulation = Simulation::new(seed, setup);
    let violation = simulation.run();
    (violation, simulation.counts)
}

fn setups(policy: Policy) -> impl Iterator<Item = Setup> {
    [(false, false), (false, true), (true, false), (true, true)]
        .into_iter()
        .map(move |(checks_fencing, restarts)| Setup {
            policy,
            checks_fencing,
            restarts,
        })
}

#[test]
fn memory_is_never_overcommitted_and_no_last_copy_is_removed() {
    for seed in seeds(10) {
        for setup in setups(Policy::Correct) {
            let (violation, counts) = run(seed, setup);
            assert_eq!(violation, None, "seed {seed} {setup:?}");
            println!("seed {seed} {setup:?} {counts:?}");
            assert!(counts.loads > 5 && counts.unloads > 0, "{counts:?}");
        }
    }
}

#[test]
fn faulty_policies_overcommit_memory() {
    let faulty = [
        (Policy::ReportOnly, [0, 0, 0, 0]),
        (Policy::IgnoreLateOrders, [8, 3, 14, 5]),
        (Policy::IgnoreReportAge, [2, 3, 9, 8]),
    ];
    for (policy, seeds) in faulty {
        for (setup, seed) in setups(policy).zip(seeds) {
            let (violation, _) = run(seed, setup);
            println!("seed {seed} {setup:?}: {violation:?}");
            assert!(
                violation.is_some_and(|text| text.contains("holds")),
                "{setup:?}"
            );
        }
    }
}
