//! Simulated engines that carry out orders with a delay, on top of the real fold.

use quetzalpick_core::id::{
    Artifact, Command, Domain, Endpoint, EngineIncarnation, Incarnation, Member, Offset, Sequence,
    Version, Vm,
};
use quetzalpick_core::plan::{Demand, Options, Planner, Status, Step};
use quetzalpick_core::record::{
    Author, Change, EndpointKind, EndpointSpec, Entry, Intent, Join, Operation, Record, Report,
    Role, Settled, Settlement,
};
use quetzalpick_core::state::{Outcome, State};
use quetzalpick_core::table::Table;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between two planning rounds, in ms.
pub(crate) const ROUND_MS: u64 = 500;

/// `Order` holds an accepted order until it takes effect at `due_ms`.
#[derive(Debug, Clone)]
struct Order {
    endpoint: Endpoint,
    sequence: Sequence,
    operation: Operation,
    due_ms: u64,
}

/// `Fleet` simulates a set of engines and the state that the placement leader folds.
pub(crate) struct Fleet {
    pub(crate) state: State,
    pub(crate) demand: Demand,
    pub(crate) planner: Planner,
    pub(crate) random: Pcg64Mcg,
    pub(crate) now_ms: u64,
    /// Accepted loads and unloads so far.
    pub(crate) moves: u32,
    /// Steps that the fold rejected, with the reasons.
    pub(crate) rejected: Vec<String>,
    leader: Member,
    term: Offset,
    orders: Vec<Order>,
    /// Artifacts that were reachable at the last check; cleared when an engine restarts.
    reachable: Table<Artifact, ()>,
}

pub(crate) fn artifact(name: &str) -> Artifact {
    Artifact::try_new(name).expect("the name is valid")
}

pub(crate) fn endpoint(at: usize) -> Endpoint {
    Endpoint::try_new(format!("e{at}")).expect("the name is valid")
}

impl Fleet {
    pub(crate) fn new(seed: u64, engines: usize, memory_mb: u64, options: Options) -> Self {
        let leader = Member {
            vm: Vm::try_new("vm/keeper").expect("the name is valid"),
            incarnation: Incarnation(1),
        };
        let mut fleet = Self {
            state: State::default(),
            demand: Demand::new(),
            planner: Planner::new(options),
            random: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0,
            moves: 0,
            rejected: Vec::new(),
            term: Offset(1),
            orders: Vec::new(),
            reachable: Table::default(),
            leader: leader.clone(),
        };
        fleet.append(Record::Join(Join {
            member: leader.clone(),
            role: Role::Keeper,
            domain: domain(0),
            peer_address: "127.0.0.1:1".to_owned(),
        }));
        fleet.append(Record::Lead(leader));
        for at in 0..engines {
            fleet.change(Change::SetEndpoint(endpoint(at), spec(at, memory_mb)));
            fleet.restart(at, 1);
        }
        fleet
    }

    pub(crate) fn append(&mut self, record: Record) -> Outcome {
        let offset = self.state.next();
        let entry = Entry {
            command: Command(1, offset.0),
            author: Author::Member(self.leader.clone()),
            expect: None,
            record,
        };
        self.state.apply(offset, &entry)
    }

    pub(crate) fn change(&mut self, change: Change) {
        let outcome = self.append(Record::Change(change.clone()));
        assert!(
            matches!(outcome, Outcome::Accepted(_)),
            "{change:?}: {outcome:?}"
        );
    }

    /// Restarts an engine with empty memory; orders in flight still arrive.
    pub(crate) fn restart(&mut self, at: usize, incarnation: u64) {
        self.append(Record::Report(Report {
            endpoint: endpoint(at),
            incarnation: EngineIncarnation(incarnation),
            as_of: self.state.next(),
            loaded: Vec::new(),
        }));
        self.reachable = Table::default();
    }

    /// Settles the orders that are due, plans, and appends the intents.
    pub(crate) fn round(&mut self) -> Vec<Step> {
        self.now_ms += ROUND_MS;
        self.settle_due_orders();
        let status = Status {
            alive: true,
            ..Status::default()
        };
        let endpoints = self.state.catalog().endpoints().keys();
        let engines: Table<Endpoint, Status> = endpoints.map(|e| (e.clone(), status)).collect();
        let steps = self
            .planner
            .plan(self.now_ms, &self.state, &self.demand, &engines);
        steps.iter().for_each(|step| self.append_intent(step));
        self.check_invariants();
        steps
    }

    /// Runs rounds until no steps follow for `IDLE_ROUNDS`, and returns the moves made; `None` if `ROUNDS_MAX` are
    /// exceeded.
    pub(crate) fn run_until_idle(&mut self) -> Option<u32> {
        const IDLE_ROUNDS: u32 = 30;
        const ROUNDS_MAX: u32 = 1_500;
        let before = self.moves;
        let mut idle_rounds = 0;
        for _ in 0..ROUNDS_MAX {
            let steps = self.round();
            let idle = steps.is_empty() && self.orders.is_empty();
            idle_rounds = if idle { idle_rounds + 1 } else { 0 };
            if idle_rounds == IDLE_ROUNDS {
                return Some(self.moves - before);
            }
        }
        None
    }

    /// Runs rounds until the planner makes no more steps.
    ///
    /// # Panics
    ///
    /// If the fleet does not converge.
    pub(crate) fn converge(&mut self, phase: &str) {
        let moves = self.run_until_idle();
        assert!(
            moves.is_some(),
            "{phase}: still moving after {} moves",
            self.moves
        );
    }

    /// Returns the artifacts without a confirmed copy of their configured version.
    pub(crate) fn unreachable(&self) -> Vec<Artifact> {
        let catalog = self.state.catalog();
        let artifacts = catalog.models().keys().chain(catalog.adapters().keys());
        let missing = artifacts.filter(|a| !self.is_served(a, catalog.wanted(a).map(|w| w.0)));
        missing.cloned().collect()
    }

    /// Returns whether some engine serves an artifact in a given or any version; an adapter needs its base model there
    /// too.
    fn is_served(&self, artifact: &Artifact, version: Option<Version>) -> bool {
        let catalog = self.state.catalog();
        let base = catalog
            .adapters()
            .get(artifact)
            .map(|adapter| &adapter.base);
        let mut accounts = self.state.ledger().accounts().values();
        accounts.any(|account| {
            let is_loaded = match version {
                Some(version) => account.serves(artifact, version),
                None => account.serves_any(artifact),
            };
            is_loaded && base.is_none_or(|base| account.serves_any(base))
        })
    }

    fn append_intent(&mut self, step: &Step) {
        let account = self.state.ledger().accounts().get(&step.endpoint);
        let last_sequence = account.map_or(0, |account| account.last_sequence.0);
        let sequence = Sequence(last_sequence + 1);
        let outcome = self.append(Record::Intent(Intent {
            leader: self.leader.clone(),
            term: self.term,
            endpoint: step.endpoint.clone(),
            sequence,
            operation: step.operation.clone(),
        }));
        if let Outcome::Rejected(reason) = outcome {
            self.rejected.push(format!("{step:?}: {reason}"));
            return;
        }
        self.moves += 1;
        let delay_ms = self.random.random_range(0..6) * ROUND_MS;
        self.orders.push(Order {
            endpoint: step.endpoint.clone(),
            sequence,
            operation: step.operation.clone(),
            due_ms: self.now_ms + delay_ms,
        });
    }

    /// Settles the orders that are due; engines refuse 3% of them permanently.
    fn settle_due_orders(&mut self) {
        let now_ms = self.now_ms;
        let orders = std::mem::take(&mut self.orders);
        let (due, later) = orders.into_iter().partition(|order| order.due_ms <= now_ms);
        self.orders = later;
        for order in due {
            let refused = self.random.random_bool(0.03);
            let settlement = if refused {
                Settlement::Refused
            } else {
                Settlement::Done
            };
            let incarnation = self
                .state
                .ledger()
                .accounts()
                .get(&order.endpoint)
                .map(|a| a.incarnation);
            self.append(Record::Settled(Settled {
                endpoint: order.endpoint,
                sequence: order.sequence,
                incarnation: incarnation.expect("the engine was reported"),
                as_of: self.state.next(),
                settlement,
            }));
        }
    }

    /// Asserts that no memory is overcommitted, the load limits hold, and reachable artifacts stay reachable.
    fn check_invariants(&mut self) {
        let catalog = self.state.catalog();
        for (name, spec) in catalog.endpoints().iter() {
            let EndpointKind::Engine { memory_mb, .. } = spec.kind else {
                continue;
            };
            assert!(
                self.state.ledger().used_mb(name) <= memory_mb,
                "{name} is overcommitted"
            );
        }
        let loads = |adapters: bool| {
            let is_load = |order: &&Order| match &order.operation {
                Operation::Load(name, _) => catalog.adapters().contains(name) == adapters,
                Operation::Unload(..) => false,
            };
            self.orders.iter().filter(is_load).count()
        };
        let options = self.planner.options();
        assert!(loads(false) <= options.loads_in_flight as usize);
        assert!(loads(true) <= options.adapters_in_flight as usize);
        for name in self.reachable.keys() {
            assert!(self.is_served(name, None), "{name} is no longer reachable");
        }
        let names = catalog.models().keys().chain(catalog.adapters().keys());
        let served = names.filter(|name| self.is_served(name, None)).cloned();
        self.reachable = served.map(|name| (name, ())).collect();
    }
}

pub(crate) fn domain(at: usize) -> Domain {
    Domain::try_new(format!("d{}", at % 3)).expect("the name is valid")
}

pub(crate) fn spec(at: usize, memory_mb: u64) -> EndpointSpec {
    EndpointSpec {
        address: format!("127.0.0.1:{}", 9_000 + at),
        domain: domain(at),
        kind: EndpointKind::Engine {
            accelerators: 1,
            memory_mb,
            checks_fencing: true,
        },
        draining: false,
    }
}
