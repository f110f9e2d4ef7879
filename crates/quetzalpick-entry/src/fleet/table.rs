//! The table of endpoints.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quetzalpick_core::id::{Artifact, Domain, Endpoint, Service};
use quetzalpick_core::route::{self, Candidate, choose};
use quetzalpick_core::table::Table;

use crate::exchange::EndpointsRelay;
use crate::fleet::row::Row;
use crate::fleet::{Pick, Spec};
use crate::place::{Demand, Work};

/// `Wanted` is what a request needs of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a Service,
    /// Models and adapters that it must hold.
    pub artifacts: &'a [&'a Artifact],
    /// Endpoints that were tried before.
    pub tried: &'a [Endpoint],
}

/// `Fleet` is all endpoints as this VM sees them.
#[derive(Debug)]
pub struct Fleet {
    here: Domain,
    options: route::Options,
    rows: Mutex<Table<Endpoint, Row>>,
    demand: Mutex<Demand>,
    /// When the leader was last heard, in ms.
    leader_ms: AtomicU64,
    /// Grows with each change of an entry.
    version: AtomicU64,
    /// Newest version of an entry that was forgotten: who knows an older one is told all.
    forgotten: AtomicU64,
    /// VMs that share the endpoints.
    members: AtomicU32,
}

/// Time for which the leader's word counts, in ms.
const LEADER_AGE_MS: u64 = 2_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Makes a fleet without endpoints, for a VM in the failure domain `here`.
    pub fn new(here: Domain, options: route::Options) -> Self {
        Self {
            here,
            options,
            rows: Mutex::default(),
            demand: Mutex::default(),
            leader_ms: AtomicU64::default(),
            version: AtomicU64::new(1),
            forgotten: AtomicU64::default(),
            members: AtomicU32::new(1),
        }
    }

    fn rows(&self) -> MutexGuard<'_, Table<Endpoint, Row>> {
        lock(&self.rows)
    }

    /// Takes in what an endpoint says of itself; tells whether it was not known, or says that it leaves.
    pub fn update(&self, now_ms: u64, endpoint: Endpoint, spec: Spec) -> bool {
        let heard = self.leader_is_heard(now_ms);
        let mut rows = self.rows();
        match rows.get_mut(&endpoint) {
            Some(row) => {
                let news = row.spec.state != spec.state || !row.spec.is_same_start(&spec);
                let changes = row.spec != spec || row.lapsed_ms.is_some();
                row.update(heard, spec);
                if changes {
                    row.version = self.next_version();
                }
                news
            }
            None => {
                let mut row = Row::new(spec);
                row.version = self.next_version();
                rows.insert(endpoint, row);
                true
            }
        }
    }

    fn next_version(&self) -> u64 {
        self.version.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the endpoints that are known, but not among those given.
    pub fn others(&self, named: &[Endpoint]) -> Vec<Endpoint> {
        let rows = self.rows();
        let others = rows.keys().filter(|endpoint| !named.contains(endpoint));
        others.cloned().collect()
    }

    /// Notes that an endpoint's entry lapsed; tells whether it was known.
    pub fn lapse(&self, now_ms: u64, endpoint: &Endpoint) -> bool {
        let mut rows = self.rows();
        let Some(row) = rows.get_mut(endpoint) else {
            return false;
        };
        if row.lapsed_ms.is_none() {
            row.lapsed_ms = Some(now_ms);
            row.version = self.next_version();
        }
        true
    }

    /// Takes in the entries that the leader has read.
    pub(crate) fn take_relay(&self, now_ms: u64, relay: EndpointsRelay) {
        let named: Vec<Endpoint> = relay.rows.iter().map(|(name, _)| name.clone()).collect();
        for (endpoint, spec) in relay.rows {
            let Some(spec) = spec else {
                self.lapse(now_ms, &endpoint);
                continue;
            };
            let state = spec.state;
            if self.update(now_ms, endpoint.clone(), spec) {
                log::info!("view: endpoint={endpoint} state={state} from=leader");
            }
        }
        if relay.complete {
            for endpoint in self.others(&named) {
                self.lapse(now_ms, &endpoint);
            }
        }
    }

    /// Returns the entries that changed since a version that a VM knows, if any did; 0 stands for a VM that knows none.
    pub(crate) fn relay(&self, known: u64) -> Option<EndpointsRelay> {
        let version = self.version.load(Ordering::Relaxed);
        if version == known {
            return None;
        }
        let complete = known <= self.forgotten.load(Ordering::Relaxed);
        let rows = self.rows();
        let changed = rows
            .iter()
            .filter(|(_, row)| complete || row.version > known);
        let entry = |row: &Row| row.lapsed_ms.is_none().then(|| row.spec.clone());
        Some(EndpointsRelay {
            version,
            complete,
            rows: changed
                .map(|(name, row)| (name.clone(), entry(row)))
                .collect(),
        })
    }

    /// Forgets the endpoints whose entries lapsed before a time and that have no requests of this VM.
    pub fn forget_lapsed(&self, before_ms: u64) {
        let lapsed = |row: &Row| row.lapsed_ms.is_some_and(|at| at < before_ms);
        self.rows().retain(|_, row| {
            let forgets = lapsed(row) && row.in_flight == 0;
            if forgets {
                self.forgotten.fetch_max(row.version, Ordering::Relaxed);
            }
            !forgets
        });
    }

    /// Picks an endpoint for a request; `None` if none that stays holds what it needs.
    pub fn pick(self: &Arc<Self>, now_ms: u64, wanted: &Wanted<'_>, random: u64) -> Option<Pick> {
        let mut rows = self.rows();
        let members = self.members.load(Ordering::Relaxed);
        let serving = rows.iter().filter(|(_, row)| row.serves(wanted));
        let candidates: Vec<Candidate<'_>> = serving
            .map(|(name, row)| row.candidate(name, wanted.tried.contains(name), members))
            .collect();
        let choice = choose(now_ms, &self.here, &candidates, &self.options, random)?;
        let endpoint = candidates[choice.index].endpoint.clone();
        let row = rows.get_mut(&endpoint)?;
        let load = row.in_flight + row.others;
        row.in_flight += 1;
        row.dispatched += 1;
        Some(Pick {
            endpoint,
            address: row.spec.address,
            reason: choice.reason,
            load,
            fleet: Arc::clone(self),
        })
    }

    /// Takes in what the leader says that an endpoint holds.
    pub fn learn(&self, now_ms: u64, endpoint: &Endpoint, copies: &[Artifact]) {
        self.leader_heard(now_ms);
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.learn(copies);
        }
    }

    /// Notes that the leader's word was heard.
    pub fn leader_heard(&self, now_ms: u64) {
        self.leader_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Tells whether the leader's word goes before the endpoints' own entries, which are older.
    fn leader_is_heard(&self, now_ms: u64) -> bool {
        now_ms < self.leader_ms.load(Ordering::Relaxed) + LEADER_AGE_MS
    }

    /// Takes in how many requests of the other VMs are under way.
    pub fn others_told(&self, now_ms: u64, loads: &[(Endpoint, u32)]) {
        let mut rows = self.rows();
        for (_, row) in rows.iter_mut() {
            row.others = 0;
            row.dispatched = 0;
        }
        for (endpoint, load) in loads {
            if let Some(row) = rows.get_mut(endpoint) {
                row.others = *load;
                row.others_ms = now_ms;
            }
        }
    }

    /// Returns the requests of this VM under way, by endpoint.
    pub fn loads(&self) -> Vec<(Endpoint, u32)> {
        let rows = self.rows();
        let busy = rows.iter().filter(|(_, row)| row.in_flight > 0);
        busy.map(|(name, row)| (name.clone(), row.in_flight))
            .collect()
    }

    /// Returns what the endpoints that are not gone say of themselves.
    pub fn specs(&self) -> Vec<(Endpoint, Spec)> {
        let rows = self.rows();
        let present = rows.iter().filter(|(_, row)| row.lapsed_ms.is_none());
        present
            .map(|(name, row)| (name.clone(), row.spec.clone()))
            .collect()
    }

    /// Notes that a model, and its adapter if one is named, is asked for.
    pub fn ask(&self, artifacts: &[&Artifact], answer_tokens: u64) {
        let mut demand = lock(&self.demand);
        artifacts
            .iter()
            .for_each(|artifact| demand.record(artifact, answer_tokens));
    }

    /// Returns the demand for models and adapters that this VM sees.
    pub fn work(&self, now_ms: u64) -> Vec<(Artifact, Work)> {
        let mut demand = lock(&self.demand);
        demand.update(now_ms)
    }

    /// Notes that an endpoint answered a request.
    pub fn succeed(&self, now_ms: u64, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.health.record_success(now_ms);
            row.unreached_ms = None;
        }
    }

    /// Notes that a request failed by the endpoint's doing; tells whether it is ejected for that.
    pub fn fail(&self, now_ms: u64, endpoint: &Endpoint) -> bool {
        let mut rows = self.rows();
        let row = rows.get_mut(endpoint);
        row.is_some_and(|row| row.health.record_failure(now_ms, &self.options.health))
    }

    /// Notes that an endpoint could not be reached, which ejects it at once.
    pub fn lose(&self, now_ms: u64, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.health.mark_unreachable(now_ms, &self.options.health);
            row.unreached_ms = Some(now_ms);
        }
    }

    /// Notes that an endpoint was reached by other means than a request.
    pub fn reach(&self, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.unreached_ms = None;
        }
    }

    /// Returns the endpoints that this VM could not reach a short time ago.
    pub fn lost(&self, now_ms: u64) -> Vec<Endpoint> {
        self.names(|row| row.is_lost(now_ms))
    }

    /// Returns the endpoints that may be gone, or have started anew, by what this VM met a short time ago.
    pub fn suspected(&self, now_ms: u64) -> Vec<Endpoint> {
        self.names(|row| row.is_suspected(now_ms))
    }

    fn names(&self, is_meant: impl Fn(&Row) -> bool) -> Vec<Endpoint> {
        let rows = self.rows();
        let meant = rows.iter().filter(|(_, row)| is_meant(row));
        meant.map(|(name, _)| name.clone()).collect()
    }

    /// Notes how many VMs share the endpoints.
    pub fn divide(&self, members: usize) {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        self.members.store(members, Ordering::Relaxed);
    }

    /// Notes that an endpoint refused a request as it lacks what it was thought to hold.
    pub fn misses(&self, now_ms: u64, endpoint: &Endpoint, artifacts: &[&Artifact]) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.missed_ms = Some(now_ms);
            row.missing.extend(artifacts.last().map(|a| (*a).clone()));
        }
    }

    /// Ends a request of this VM at an endpoint.
    pub(crate) fn release(&self, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }
}
