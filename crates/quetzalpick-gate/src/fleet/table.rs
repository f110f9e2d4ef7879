//! All endpoints as this gate sees them, and the choice among them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use quetzalpick_client::wire::engine::{Events, Report};
use quetzalpick_client::wire::vms::{List, Status};
use quetzalpick_core::id::{Domain, Endpoint};
use quetzalpick_core::record::EndpointSpec;
use quetzalpick_core::route::{Candidate, Options, PrefixCache, Reason, ReplicaIndex, choose};
use quetzalpick_core::state::State;
use quetzalpick_core::table::Table;

use crate::clock::Clock;
use crate::fleet::Need;
use crate::fleet::seen::Seen;

/// `Target` is the endpoint chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Target {
    /// The endpoint.
    pub(crate) endpoint: Endpoint,
    /// Its IP address and port.
    pub(crate) address: String,
    /// Why it was chosen.
    pub(crate) reason: Reason,
}

/// `Fleet` is what this gate has seen of all endpoints.
#[derive(Debug)]
pub(crate) struct Fleet {
    clock: Clock,
    domain: Domain,
    options: Options,
    /// Where to look for an artifact or a service.
    replica_index: Mutex<ReplicaIndex>,
    inner: Mutex<Inner>,
}

/// `Inner` is what the lock protects.
#[derive(Debug)]
struct Inner {
    seen: Table<Endpoint, Seen>,
    /// The empty memory of cached prefixes that each endpoint begins with.
    fresh: PrefixCache,
}

impl Inner {
    /// Returns what was seen of an endpoint, for change.
    fn seen(&mut self, endpoint: &Endpoint) -> &mut Seen {
        let fresh = || Seen::new(self.fresh.clone());
        self.seen.get_or_insert_with(endpoint.clone(), fresh)
    }
}

impl Fleet {
    /// Returns a view of a gate in a failure domain before anything was seen; each endpoint gets a copy of `fresh`.
    pub(crate) fn new(clock: Clock, domain: Domain, options: Options, fresh: PrefixCache) -> Self {
        let seen = Table::default();
        let inner = Mutex::new(Inner { seen, fresh });
        Self {
            clock,
            domain,
            options,
            replica_index: Mutex::default(),
            inner,
        }
    }

    /// Takes in what has changed in the state.
    pub(crate) fn refresh(&self, state: &State) {
        let mut replica_index = self
            .replica_index
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        replica_index.refresh(state);
    }

    /// Locks the index of a need's endpoints, brought up to date first if it knows of none.
    fn replica_index(&self, state: &State, need: &Need) -> MutexGuard<'_, ReplicaIndex> {
        let mut replica_index = self
            .replica_index
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // The first holder may have come with a record that was applied a moment ago.
        if replica_index.is_behind(state) && !need.is_met(state, &replica_index) {
            replica_index.refresh(state);
        }
        replica_index
    }

    /// Counts the engines that hold the wanted versions, by the agreed state; 0 for a service.
    pub(crate) fn count_copies(&self, state: &State, need: &Need) -> usize {
        need.count_copies(state, &self.replica_index(state, need))
    }

    /// Locks the view; a panic elsewhere leaves it usable, as each change is complete in itself.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses an endpoint for a request; `None` if none that is not leaving meets the need.
    pub(crate) fn choose(
        &self,
        state: &State,
        need: &Need,
        tried: &[Endpoint],
        random: u64,
    ) -> Option<Target> {
        let now_ms = self.clock.now_ms();
        let endpoints = need.endpoints(state, &self.replica_index(state, need));
        let mut inner = self.lock();
        let views = inner.views(endpoints);
        let views = unless_all(views, |view| view.contradicts(need));
        let candidates = views.iter().map(|view| view.candidate(now_ms, need, tried));
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let choice = choose(now_ms, &self.domain, &candidates, &self.options, random)?;
        let view = &views[choice.index];
        Some(Target {
            endpoint: view.endpoint.clone(),
            address: view.spec.address.clone(),
            reason: choice.reason,
        })
    }

    /// Counts a request as under way.
    pub(crate) fn dispatch(&self, endpoint: &Endpoint) {
        let now_ms = self.clock.now_ms();
        self.lock().seen(endpoint).dispatch(now_ms);
    }

    /// Counts a request as no longer under way.
    pub(crate) fn release(&self, endpoint: &Endpoint) {
        let mut inner = self.lock();
        let seen = inner.seen(endpoint);
        seen.in_flight = seen.in_flight.saturating_sub(1);
    }

    /// Notes that an endpoint answered a request, and that its cache now holds the prompt.
    pub(crate) fn succeed(&self, endpoint: &Endpoint, need: &Need) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let seen = inner.seen(endpoint);
        seen.health.record_success(now_ms);
        if let Need::Copies {
            artifact, prefixes, ..
        } = need
        {
            seen.cache(now_ms, endpoint, artifact, prefixes);
        }
    }

    /// Notes that an endpoint failed a request.
    pub(crate) fn fail(&self, endpoint: &Endpoint) {
        let now_ms = self.clock.now_ms();
        let ejected = self
            .lock()
            .seen(endpoint)
            .health
            .record_failure(now_ms, &self.options.health);
        if ejected {
            log::warn!("route: endpoint={endpoint} ejected");
        }
    }

    /// Notes that an endpoint refused a request because it is leaving.
    pub(crate) fn refuse_leaving(&self, endpoint: &Endpoint) {
        self.lock().seen(endpoint).refuse_leaving();
    }

    /// Takes in an engine's report.
    pub(crate) fn report(&self, endpoint: &Endpoint, report: &Report) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        if inner.seen(endpoint).report(now_ms, endpoint, report) {
            log::info!("route: endpoint={endpoint} restarted");
        }
    }

    /// Returns the number to ask an engine's cache events from.
    pub(crate) fn next_event(&self, endpoint: &Endpoint) -> u64 {
        self.lock().seen(endpoint).next_event
    }

    /// Takes in an engine's cache events.
    pub(crate) fn events(&self, endpoint: &Endpoint, events: &Events) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        inner.seen(endpoint).events(now_ms, endpoint, events);
    }

    /// Takes in the VM list.
    pub(crate) fn list(&self, list: &List) {
        let mut inner = self.lock();
        for vm in &list.vms {
            if let Ok(endpoint) = Endpoint::try_new(&vm.name) {
                inner.seen(&endpoint).list(vm.status == Status::Leaving);
            }
        }
    }

    /// Forgets endpoints that the configuration does not name any more and that have no request under way.
    pub(crate) fn retain(&self, known: impl Fn(&Endpoint) -> bool) {
        let mut inner = self.lock();
        inner
            .seen
            .retain(|name, seen| known(name) || seen.in_flight > 0);
    }
}

/// `View` is an endpoint by the configuration and by what was seen of it.
#[derive(Debug, Clone, Copy)]
struct View<'a> {
    endpoint: &'a Endpoint,
    spec: &'a EndpointSpec,
    seen: &'a Seen,
}

impl Inner {
    /// Joins endpoints with what was seen of them.
    fn views<'a>(&'a mut self, endpoints: Vec<(&'a Endpoint, &'a EndpointSpec)>) -> Vec<View<'a>> {
        for (endpoint, _) in &endpoints {
            if !self.seen.contains(*endpoint) {
                self.seen(endpoint);
            }
        }
        let seen = &self.seen;
        let view = |(endpoint, spec)| {
            let seen = seen.get(endpoint)?;
            Some(View {
                endpoint,
                spec,
                seen,
            })
        };
        endpoints.into_iter().filter_map(view).collect()
    }
}

impl<'a> View<'a> {
    /// Tells whether the endpoint's own report contradicts that it meets a need, as after its restart.
    fn contradicts(&self, need: &Need) -> bool {
        match need {
            Need::Copies { copies, .. } => copies.iter().any(|(a, _)| self.seen.lacks(a.as_str())),
            Need::Service(_) => false,
        }
    }

    /// Builds the candidate of the endpoint.
    fn candidate(&self, now_ms: u64, need: &Need, tried: &[Endpoint]) -> Candidate<'a> {
        let Self {
            endpoint,
            spec,
            seen,
        } = *self;
        let cached_blocks = match need {
            Need::Copies {
                artifact, prefixes, ..
            } => seen.cached_blocks(now_ms, endpoint, artifact, prefixes),
            Need::Service(_) => 0,
        };
        Candidate {
            endpoint,
            domain: &spec.domain,
            leaving: spec.draining || seen.is_leaving(),
            load: seen.load(),
            health: &seen.health,
            cached_blocks,
            tried: tried.contains(endpoint),
        }
    }
}

/// Leaves out the views that a predicate names, unless it names all of them.
fn unless_all(views: Vec<View<'_>>, excluded: impl Fn(&View<'_>) -> bool) -> Vec<View<'_>> {
    let kept: Vec<_> = views
        .iter()
        .filter(|view| !excluded(view))
        .copied()
        .collect();
    if kept.is_empty() { views } else { kept }
}
