//! Observed state of all endpoints, and the choice among them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use quetzalpick_client::wire::engine::{Events, Report};
use quetzalpick_client::wire::vms::{List, Status};
use quetzalpick_core::id::{Domain, Endpoint};
use quetzalpick_core::record::EndpointSpec;
use quetzalpick_core::route::pace::USUAL_PERMILLE;
use quetzalpick_core::route::{
    Candidate, Options, PrefixCache, Prompt, Reason, ReplicaIndex, choose,
};
use quetzalpick_core::state::State;
use quetzalpick_core::table::Table;

use crate::clock::Clock;
use crate::fleet::Requirement;
use crate::fleet::endpoint_state::EndpointState;

/// `Target` names the endpoint chosen for a request, with its address and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Target {
    /// The endpoint.
    pub(crate) endpoint: Endpoint,
    /// Its IP address and port.
    pub(crate) address: String,
    /// Why it was chosen.
    pub(crate) reason: Reason,
}

/// `Fleet` tracks the observed state of all endpoints and chooses among them.
#[derive(Debug)]
pub(crate) struct Fleet {
    clock: Clock,
    domain: Domain,
    options: Options,
    /// Endpoints of each artifact and service.
    replica_index: Mutex<ReplicaIndex>,
    inner: Mutex<Inner>,
}

/// `Inner` holds the state that the lock protects.
#[derive(Debug)]
struct Inner {
    endpoints: Table<Endpoint, EndpointState>,
    /// Empty prefix cache that the state of each new endpoint starts with.
    empty_cache: PrefixCache,
}

impl Inner {
    /// Returns the state of an endpoint, which is created if it does not exist.
    fn endpoint_mut(&mut self, endpoint: &Endpoint) -> &mut EndpointState {
        let new_state = || EndpointState::new(self.empty_cache.clone());
        self.endpoints
            .get_or_insert_with(endpoint.clone(), new_state)
    }
}

impl Fleet {
    /// Creates a fleet without endpoints for a gate in a failure domain; each endpoint starts with a copy of
    /// `empty_cache`.
    pub(crate) fn new(
        clock: Clock,
        domain: Domain,
        options: Options,
        empty_cache: PrefixCache,
    ) -> Self {
        let endpoints = Table::default();
        let inner = Mutex::new(Inner {
            endpoints,
            empty_cache,
        });
        Self {
            clock,
            domain,
            options,
            replica_index: Mutex::default(),
            inner,
        }
    }

    /// Updates the replica index to the agreed state.
    pub(crate) fn refresh_index(&self, state: &State) {
        let mut replica_index = self
            .replica_index
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        replica_index.refresh(state);
    }

    /// Locks the replica index, updated first if it is behind the state and has no endpoint that meets the requirement.
    fn replica_index(
        &self,
        state: &State,
        requirement: &Requirement,
    ) -> MutexGuard<'_, ReplicaIndex> {
        let mut replica_index = self
            .replica_index
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // The first endpoint may have been added by a record that was applied recently.
        if replica_index.is_behind(state) && !requirement.is_met(state, &replica_index) {
            replica_index.refresh(state);
        }
        replica_index
    }

    /// Counts the engines that hold the wanted versions according to the agreed state; 0 for a service.
    pub(crate) fn count_copies(&self, state: &State, requirement: &Requirement) -> usize {
        requirement.count_copies(state, &self.replica_index(state, requirement))
    }

    /// Locks the state; a poisoned lock is still used, because each change leaves it consistent.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses an endpoint for a request; `None` if none meets the requirement, or all that do are leaving.
    pub(crate) fn choose(
        &self,
        state: &State,
        requirement: &Requirement,
        attempted: &[Endpoint],
        random: u64,
    ) -> Option<Target> {
        let now_ms = self.clock.now_ms();
        let endpoints = requirement.endpoints(state, &self.replica_index(state, requirement));
        let mut inner = self.lock();
        let observed = inner.observed(endpoints);
        let observed = exclude_unless_all(observed, |endpoint| endpoint.has_lost_copy(requirement));
        let candidates = observed
            .iter()
            .map(|endpoint| endpoint.candidate(now_ms, requirement, attempted));
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let choice = choose(
            now_ms,
            &self.domain,
            &candidates,
            Prompt::default(),
            &self.options,
            random,
        )?;
        let chosen = &observed[choice.index];
        Some(Target {
            endpoint: chosen.endpoint.clone(),
            address: chosen.spec.address.clone(),
            reason: choice.reason,
        })
    }

    /// Counts a request as in flight.
    pub(crate) fn record_dispatch(&self, endpoint: &Endpoint) {
        let now_ms = self.clock.now_ms();
        self.lock().endpoint_mut(endpoint).record_dispatch(now_ms);
    }

    /// Counts a request as no longer in flight.
    pub(crate) fn release(&self, endpoint: &Endpoint) {
        let mut inner = self.lock();
        let state = inner.endpoint_mut(endpoint);
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Records that an endpoint answered a request and that its cache now holds the prompt.
    pub(crate) fn record_success(&self, endpoint: &Endpoint, requirement: &Requirement) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let state = inner.endpoint_mut(endpoint);
        state.health.record_success(now_ms);
        if let Requirement::Copies {
            artifact, prefixes, ..
        } = requirement
        {
            state.record_cached_prompt(now_ms, endpoint, artifact, prefixes);
        }
    }

    /// Records that a request failed at an endpoint, which may eject the endpoint.
    pub(crate) fn record_failure(&self, endpoint: &Endpoint) {
        let now_ms = self.clock.now_ms();
        let ejected = self
            .lock()
            .endpoint_mut(endpoint)
            .health
            .record_failure(now_ms, &self.options.health);
        if ejected {
            log::warn!("route: endpoint={endpoint} ejected");
        }
    }

    /// Records that an endpoint refused a request because it is leaving.
    pub(crate) fn mark_leaving(&self, endpoint: &Endpoint) {
        self.lock().endpoint_mut(endpoint).mark_leaving();
    }

    /// Applies an engine's report.
    pub(crate) fn apply_report(&self, endpoint: &Endpoint, report: &Report) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        if inner
            .endpoint_mut(endpoint)
            .apply_report(now_ms, endpoint, report)
        {
            log::info!("route: endpoint={endpoint} restarted");
        }
    }

    /// Returns the number of the engine's next cache event to fetch.
    pub(crate) fn next_event(&self, endpoint: &Endpoint) -> u64 {
        self.lock().endpoint_mut(endpoint).next_event
    }

    /// Applies an engine's cache events.
    pub(crate) fn apply_events(&self, endpoint: &Endpoint, events: &Events) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        inner
            .endpoint_mut(endpoint)
            .apply_events(now_ms, endpoint, events);
    }

    /// Applies the VM list.
    pub(crate) fn apply_vm_list(&self, list: &List) {
        let mut inner = self.lock();
        for vm in &list.vms {
            if let Ok(endpoint) = Endpoint::try_new(&vm.name) {
                inner
                    .endpoint_mut(&endpoint)
                    .set_listed_leaving(vm.status == Status::Leaving);
            }
        }
    }

    /// Removes the state of endpoints that are no longer configured and have no request in flight.
    pub(crate) fn retain(&self, is_configured: impl Fn(&Endpoint) -> bool) {
        let mut inner = self.lock();
        inner
            .endpoints
            .retain(|name, state| is_configured(name) || state.in_flight > 0);
    }
}

/// `Observed` joins an endpoint's configuration with its observed state.
#[derive(Debug, Clone, Copy)]
struct Observed<'a> {
    endpoint: &'a Endpoint,
    spec: &'a EndpointSpec,
    state: &'a EndpointState,
}

impl Inner {
    /// Joins configured endpoints with their observed state.
    fn observed<'a>(
        &'a mut self,
        endpoints: Vec<(&'a Endpoint, &'a EndpointSpec)>,
    ) -> Vec<Observed<'a>> {
        for (endpoint, _) in &endpoints {
            if !self.endpoints.contains(*endpoint) {
                self.endpoint_mut(endpoint);
            }
        }
        let states = &self.endpoints;
        let join = |(endpoint, spec)| {
            let state = states.get(endpoint)?;
            Some(Observed {
                endpoint,
                spec,
                state,
            })
        };
        endpoints.into_iter().filter_map(join).collect()
    }
}

impl<'a> Observed<'a> {
    /// Returns whether the endpoint's last report lacks a required copy, as after a restart.
    fn has_lost_copy(&self, requirement: &Requirement) -> bool {
        match requirement {
            Requirement::Copies { copies, .. } => copies
                .iter()
                .any(|(artifact, _)| self.state.is_reported_missing(artifact.as_str())),
            Requirement::Service(_) => false,
        }
    }

    /// Returns the endpoint as a candidate for routing.
    fn candidate(
        &self,
        now_ms: u64,
        requirement: &Requirement,
        attempted: &[Endpoint],
    ) -> Candidate<'a> {
        let Self {
            endpoint,
            spec,
            state,
        } = *self;
        let cached_blocks = match requirement {
            Requirement::Copies {
                artifact, prefixes, ..
            } => state.cached_blocks(now_ms, endpoint, artifact, prefixes),
            Requirement::Service(_) => 0,
        };
        Candidate {
            endpoint,
            domain: &spec.domain,
            leaving: spec.draining || state.is_leaving(),
            // A gate learns no paces, so that all count as usual.
            slots: 1,
            pace_permille: USUAL_PERMILLE,
            load: state.load(),
            health: &state.health,
            cached_blocks,
            attempted: attempted.contains(endpoint),
        }
    }
}

/// Removes the endpoints that match a predicate, unless all of them match.
fn exclude_unless_all(
    endpoints: Vec<Observed<'_>>,
    is_excluded: impl Fn(&Observed<'_>) -> bool,
) -> Vec<Observed<'_>> {
    let kept: Vec<_> = endpoints
        .iter()
        .filter(|endpoint| !is_excluded(endpoint))
        .copied()
        .collect();
    if kept.is_empty() { endpoints } else { kept }
}
