//! The table of endpoints.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quetzalpick_core::id::{Artifact, Domain, Endpoint, Service};
use quetzalpick_core::route::{self, Candidate, Crowd, Pace, choose, has_room};
use quetzalpick_core::table::Table;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::exchange::EndpointsRelay;
use crate::fleet::row::Row;
use crate::fleet::shortage::Shortage;
use crate::fleet::{Pick, Share, Spec};
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
    /// Longest time that it may wait at the endpoint before it runs, in ms; `None` if that does not matter.
    pub wait_max_ms: Option<u64>,
}

/// `Lack` says why no endpoint was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// None that stays holds what the request needs.
    Copy,
    /// Those that hold it have too many requests.
    Room,
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
    /// VMs that share the endpoints.
    members: AtomicU32,
    /// How fast endpoints take streams, by service.
    paces: Mutex<Table<Service, Pace>>,
    shortage: Mutex<Shortage>,
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
            members: AtomicU32::new(1),
            paces: Mutex::default(),
            shortage: Mutex::default(),
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
                if row.spec != spec || row.lapsed_ms.is_some() {
                    self.version.fetch_add(1, Ordering::Relaxed);
                }
                row.update(heard, spec);
                news
            }
            None => {
                self.version.fetch_add(1, Ordering::Relaxed);
                rows.insert(endpoint, Row::new(spec));
                true
            }
        }
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
            self.version.fetch_add(1, Ordering::Relaxed);
        }
        true
    }

    /// Takes in the entries that the leader has read; endpoints that are not among them are gone.
    pub(crate) fn replace(&self, now_ms: u64, specs: Vec<(Endpoint, Spec)>) {
        let named: Vec<Endpoint> = specs.iter().map(|(endpoint, _)| endpoint.clone()).collect();
        for (endpoint, spec) in specs {
            let state = spec.state;
            if self.update(now_ms, endpoint.clone(), spec) {
                log::info!("view: endpoint={endpoint} state={state} from=leader");
            }
        }
        for endpoint in self.others(&named) {
            self.lapse(now_ms, &endpoint);
        }
    }

    /// Returns the entries for a VM that knows a version of them, if there is a newer one.
    pub(crate) fn relay(&self, known: u64) -> Option<EndpointsRelay> {
        let version = self.version.load(Ordering::Relaxed);
        (version != known).then(|| EndpointsRelay {
            version,
            rows: self.specs(),
        })
    }

    /// Forgets the endpoints whose entries lapsed before a time and that have no requests of this VM.
    pub fn forget_lapsed(&self, before_ms: u64) {
        let lapsed = |row: &Row| row.lapsed_ms.is_some_and(|at| at < before_ms);
        self.rows()
            .retain(|_, row| !lapsed(row) || row.in_flight > 0);
    }

    /// Picks an endpoint for a request.
    ///
    /// # Errors
    ///
    /// `Lack` if no endpoint that stays holds what it needs and has room for it.
    pub fn pick(
        self: &Arc<Self>,
        now_ms: u64,
        wanted: &Wanted<'_>,
        random: u64,
    ) -> Result<Pick, Lack> {
        let pace = lock(&self.paces).get(wanted.service).cloned();
        let limit = pace.zip(wanted.wait_max_ms);
        let model = wanted.artifacts.first();
        let asked_per_s = model.and_then(|model| lock(&self.shortage).ask(model));
        let mut rows = self.rows();
        let members = self.members.load(Ordering::Relaxed);
        // An endpoint that was just lost is not tried again, though no other one is there.
        let serves = |row: &Row| row.serves(wanted) && !row.is_lost(now_ms);
        let serving: Vec<_> = rows.iter().filter(|(_, row)| serves(row)).collect();
        let mut candidates: Vec<Candidate<'_>> = serving
            .iter()
            .map(|(name, row)| row.candidate(name, wanted.tried.contains(name), members))
            .collect();
        let mut offered = Vec::new();
        let mut draws = Pcg64Mcg::seed_from_u64(random);
        // The others ask for the model as often as this VM, as far as can be guessed.
        let asked_per_s = u64::from(asked_per_s.unwrap_or_default()) * u64::from(members);
        // An endpoint without room is left out, and the others are offered the request.
        let choice = loop {
            let choice = choose(now_ms, &self.here, &candidates, &self.options, draws.random());
            let Some(choice) = choice else { break None };
            let candidate = candidates.swap_remove(choice.index);
            let endpoint = candidate.endpoint.clone();
            let row = rows.get(&endpoint);
            let crowd = row.map(|row| row.crowd(now_ms, asked_per_s));
            let takes = limit
                .as_ref()
                .zip(crowd)
                .is_none_or(|((pace, wait_ms), crowd)| {
                    has_room(pace, *wait_ms, &crowd, draws.random())
                });
            offered.push(endpoint.clone());
            if takes {
                break Some((endpoint, choice.reason));
            }
        };
        for endpoint in &offered {
            if let Some(row) = rows.get_mut(endpoint) {
                row.offers.note();
            }
        }
        let lack = if offered.is_empty() { Lack::Copy } else { Lack::Room };
        if let (None, Lack::Room, Some(model)) = (&choice, lack, model) {
            lock(&self.shortage).refuse(now_ms, model);
        }
        let (endpoint, reason) = choice.ok_or(lack)?;
        let row = rows.get_mut(&endpoint).ok_or(lack)?;
        let load = row.in_flight + row.others.in_flight;
        let waits = wanted.wait_max_ms.is_some();
        let crowd = row.crowd(now_ms, 0);
        row.in_flight += 1;
        row.waiting += u32::from(waits);
        row.dispatched += 1;
        Ok(Pick {
            endpoint,
            address: row.spec.address,
            reason,
            load,
            waits,
            crowd,
            fleet: Arc::clone(self),
        })
    }

    /// Notes that a stream of a service ran for `took_ms` after its first token.
    pub fn ran(&self, service: &Service, took_ms: u64) {
        let mut paces = lock(&self.paces);
        let pace = paces.get_or_insert_with(service.clone(), Pace::default);
        pace.ran(took_ms);
    }

    /// Notes that a stream's first token came `took_ms` after its request was sent, when its endpoint was thought to have
    /// this crowd.
    pub fn began(&self, service: &Service, took_ms: u64, crowd: &Crowd) {
        let mut paces = lock(&self.paces);
        let pace = paces.get_or_insert_with(service.clone(), Pace::default);
        pace.began(took_ms, crowd);
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
    pub fn others_told(&self, now_ms: u64, loads: &[(Endpoint, Share)]) {
        let mut rows = self.rows();
        for (_, row) in rows.iter_mut() {
            row.others = Share::default();
            row.dispatched = 0;
        }
        for (endpoint, share) in loads {
            if let Some(row) = rows.get_mut(endpoint) {
                row.others = *share;
                row.others_ms = now_ms;
            }
        }
    }

    /// Returns this VM's share of the requests for each endpoint.
    pub fn loads(&self, now_ms: u64) -> Vec<(Endpoint, Share)> {
        lock(&self.shortage).turn(now_ms);
        let mut rows = self.rows();
        let shares = rows.iter_mut().map(|(name, row)| {
            let share = Share {
                in_flight: row.in_flight,
                waiting: row.waiting,
                offered_per_s: row.offers.turn(now_ms),
            };
            (name.clone(), share)
        });
        shares.filter(|(_, share)| !share.is_empty()).collect()
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
            .for_each(|artifact| demand.note(artifact, answer_tokens));
    }

    /// Returns the demand for models and adapters that this VM sees.
    pub fn work(&self, now_ms: u64) -> Vec<(Artifact, Work)> {
        let mut demand = lock(&self.demand);
        demand.turn(now_ms)
    }

    /// Notes that an endpoint answered a request.
    pub fn succeed(&self, now_ms: u64, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.health.succeed(now_ms);
            row.unreached_ms = None;
        }
    }

    /// Notes that a request failed by the endpoint's doing; tells whether it is ejected for that.
    pub fn fail(&self, now_ms: u64, endpoint: &Endpoint) -> bool {
        let mut rows = self.rows();
        let row = rows.get_mut(endpoint);
        row.is_some_and(|row| row.health.fail(now_ms, &self.options.health))
    }

    /// Notes that an endpoint could not be reached, which ejects it at once.
    pub fn lose(&self, now_ms: u64, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.health.lose(now_ms, &self.options.health);
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
    pub fn doubted(&self, now_ms: u64) -> Vec<Endpoint> {
        self.names(|row| row.is_doubted(now_ms))
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

    /// Notes that a stream of this VM at an endpoint has its first token, or will have none.
    pub(crate) fn end_wait(&self, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.waiting = row.waiting.saturating_sub(1);
        }
    }

    /// Ends a request of this VM at an endpoint.
    pub(crate) fn release(&self, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }
}
