//! The replica index returns the same endpoints as a scan of all endpoints, in the same order.
//!
//! Routing depends on no other part of the state, so it chooses the same endpoints with either.

use quetzalpick_core::id::{Artifact, Endpoint, EngineIncarnation, Offset, Sequence, Version};
use quetzalpick_core::record::{
    Change, EndpointKind, EndpointSpec, Intent, Operation, Record, Report, Role, ServiceSpec,
    Settled, Settlement,
};
use quetzalpick_core::route::ReplicaIndex;
use quetzalpick_core::state::{Account, Outcome, State};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::script::{
    Session, artifact, endpoint, endpoint_spec, join, member, seeds, service, set_adapter,
    set_engine, set_model,
};

const STEPS: usize = 300;
const ENGINES: u16 = 8;
const MODELS: u64 = 4;

type Copy = (Artifact, Version);
type Rows<'a> = Vec<(&'a Endpoint, &'a EndpointSpec)>;

/// Scans all engines for those whose account satisfies a predicate.
fn scan<'a>(state: &'a State, serves: impl Fn(&Account) -> bool) -> Rows<'a> {
    let accounts = state.ledger().accounts().iter();
    let serving = accounts.filter(|(_, account)| serves(account));
    let endpoints = state.catalog().endpoints();
    serving
        .filter_map(|(name, _)| Some((name, endpoints.get(name)?)))
        .collect()
}

/// Returns true if an account serves any versions of all copies.
fn serves_any(account: &Account, copies: &[Copy]) -> bool {
    let served = |name: &Artifact| {
        let mut versions = account.loaded.keys().filter(|(other, _)| other == name);
        versions.any(|(name, version)| account.serves(name, *version))
    };
    copies.iter().all(|(name, _)| served(name))
}

/// Returns true if an account serves the wanted versions of all copies.
fn serves_wanted(account: &Account, copies: &[Copy]) -> bool {
    let mut copies = copies.iter();
    copies.all(|(name, version)| account.serves(name, *version))
}

/// Scans all engines for the wanted versions, then for any versions.
fn scan_engines<'a>(state: &'a State, copies: &[Copy]) -> Rows<'a> {
    let found = scan(state, |account| serves_wanted(account, copies));
    if !found.is_empty() {
        return found;
    }
    scan(state, |account| serves_any(account, copies))
}

/// Scans all endpoints for the instances of a service.
fn scan_instances<'a>(state: &'a State, name: &str) -> Rows<'a> {
    let wanted = EndpointKind::Service {
        service: service(name),
    };
    let endpoints = state.catalog().endpoints().iter();
    endpoints.filter(|(_, spec)| spec.kind == wanted).collect()
}

/// Returns the copies needed by requests for each model, for its adapter and for former versions.
fn needs(state: &State) -> Vec<Vec<Copy>> {
    let mut needs = vec![vec![(artifact("m0"), Version(1))]];
    let catalog = state.catalog();
    for (name, model) in catalog.models().iter() {
        needs.push(vec![(name.clone(), model.version)]);
    }
    for (name, adapter) in catalog.adapters().iter() {
        let base = catalog.models().get(&adapter.base).unwrap();
        let model = (adapter.base.clone(), base.version);
        needs.push(vec![model, (name.clone(), adapter.version)]);
    }
    needs
}

/// Compares an index with the scan; returns a description of the first difference.
fn difference(state: &State, index: &ReplicaIndex) -> Option<String> {
    for copies in needs(state) {
        let wanted = scan(state, |account| serves_wanted(account, &copies)).len();
        let same = index.engines(state, &copies) == scan_engines(state, &copies);
        if !same || index.count_wanted(state, &copies) != wanted {
            return Some(format!("engines for {copies:?} at {}", state.next()));
        }
    }
    for name in ["orders", "stock"] {
        if index.instances(state, &service(name)) != scan_instances(state, name) {
            return Some(format!("instances of {name} at {}", state.next()));
        }
    }
    None
}

/// Checks that an index that is behind the state returns only endpoints that serve.
fn check_behind(state: &State, index: &ReplicaIndex) {
    for copies in needs(state) {
        let any = scan(state, |account| serves_any(account, &copies));
        let offered = index.engines(state, &copies);
        assert!(offered.iter().all(|row| any.contains(row)));
    }
    for name in ["orders", "stock"] {
        let scanned = scan_instances(state, name);
        let offered = index.instances(state, &service(name));
        assert!(offered.iter().all(|row| scanned.contains(row)));
    }
}

/// `Run` applies random records, many of which are accepted.
struct Run {
    random: Pcg64,
    session: Session,
    term: Offset,
    accepted: usize,
}

impl Run {
    fn new(seed: u64) -> Self {
        let keeper = member("vm-0", 1);
        let mut session = Session::default();
        session.accepted(&keeper, join(&keeper, Role::Keeper));
        let term = session.accepted(&keeper, Record::Lead(keeper.clone()));
        for at in 0..MODELS {
            session.changes([set_model(&format!("m{at}"), 1, 10)]);
            session.changes([set_adapter(&format!("a{at}"), &format!("m{at}"), 1, 1)]);
        }
        for name in ["orders", "stock"] {
            let routes = Vec::new();
            let spec = ServiceSpec { charge: 0, routes };
            session.changes([Change::SetService(service(name), spec)]);
        }
        Self {
            random: Pcg64::seed_from_u64(seed),
            session,
            term,
            accepted: 0,
        }
    }

    fn copy(&mut self) -> Copy {
        let kind = ["m", "a"][self.random.random_range(0..2)];
        let at = self.random.random_range(0..MODELS);
        let version = Version(self.random.random_range(1..4));
        (artifact(&format!("{kind}{at}")), version)
    }

    /// Returns a change of endpoints or versions.
    fn change(&mut self) -> Change {
        let at = self.random.random_range(0..ENGINES);
        let name = format!("e{at}");
        let version = self.random.random_range(1..4);
        let artifact = self.random.random_range(0..MODELS);
        match self.random.random_range(0..7) {
            0 | 1 => set_engine(&name, 9_000 + at, 60, true),
            2 => Change::RemoveEndpoint(endpoint(&name)),
            3 => Change::Drain(endpoint(&name), self.random.random_bool(0.5)),
            4 => set_model(&format!("m{artifact}"), version, 10),
            5 => {
                let service = service(["orders", "stock"][self.random.random_range(0..2)]);
                let spec = endpoint_spec(8_000 + at, EndpointKind::Service { service });
                Change::SetEndpoint(endpoint(&format!("s{at}")), spec)
            }
            _ => Change::RemoveEndpoint(endpoint(&format!("s{at}"))),
        }
    }

    /// Returns a record about an engine.
    fn placement(&mut self) -> Record {
        let at = endpoint(&format!("e{}", self.random.random_range(0..ENGINES)));
        let account = self.session.state.ledger().accounts().get(&at).cloned();
        let account = account.unwrap_or_default();
        let (as_of, incarnation) = (self.session.state.next(), account.incarnation);
        if self.random.random_bool(0.2) {
            let mut loaded: Vec<Copy> = (0..3).map(|_| self.copy()).collect();
            loaded.sort();
            loaded.dedup();
            let incarnation = EngineIncarnation(self.random.random_range(1..3));
            return Record::Report(Report {
                endpoint: at,
                incarnation,
                as_of,
                loaded,
            });
        }
        if let Some(open) = account
            .open
            .first()
            .filter(|_| self.random.random_bool(0.6))
        {
            let done = self.random.random_bool(0.8);
            return Record::Settled(Settled {
                endpoint: at,
                sequence: open.sequence,
                incarnation,
                as_of,
                settlement: [Settlement::Refused, Settlement::Done][usize::from(done)],
            });
        }
        let loaded: Vec<Copy> = account.loaded.keys().cloned().collect();
        let (name, version) = self.copy();
        let operation = if loaded.is_empty() || self.random.random_bool(0.5) {
            Operation::Load(name, version)
        } else {
            let (name, version) = loaded[self.random.random_range(0..loaded.len())].clone();
            Operation::Unload(name, version)
        };
        Record::Intent(Intent {
            leader: member("vm-0", 1),
            term: self.term,
            endpoint: at,
            sequence: Sequence(account.last_sequence.0 + 1),
            operation,
        })
    }

    fn step(&mut self) {
        let outcome = if self.random.random_bool(0.3) {
            let change = self.change();
            self.session.change(change)
        } else {
            let record = self.placement();
            self.session.by(&member("vm-0", 1), record)
        };
        self.accepted += usize::from(matches!(outcome, Outcome::Accepted(_)));
    }
}

#[test]
fn the_index_returns_the_same_as_a_scan() {
    let (mut accepted, mut offered) = (0, 0);
    for seed in seeds(40) {
        let mut run = Run::new(seed);
        let mut index = ReplicaIndex::default();
        for _ in 0..STEPS {
            run.step();
            let state = &run.session.state;
            check_behind(state, &index);
            // One refresh may cover several records.
            if run.random.random_bool(0.5) {
                index.refresh(state);
                assert!(!index.is_behind(state));
                assert_eq!(difference(state, &index), None, "seed {seed}");
                let rows = |copies: &Vec<Copy>| index.engines(state, copies).len();
                offered += needs(state).iter().map(rows).sum::<usize>();
            }
        }
        accepted += run.accepted;
    }
    println!("{accepted} records accepted, {offered} engines offered");
    assert!(accepted > 40 * STEPS / 4 && offered > 10_000);
}

#[test]
fn an_index_that_is_not_refreshed_differs() {
    let mut run = Run::new(0);
    let mut index = ReplicaIndex::default();
    (0..STEPS / 2).for_each(|_| run.step());
    index.refresh(&run.session.state);
    let differs = (0..STEPS).any(|_| {
        run.step();
        difference(&run.session.state, &index).is_some()
    });
    assert!(differs, "seed 0");
}
