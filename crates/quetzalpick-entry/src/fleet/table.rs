//! The table of endpoints and the demand for models.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use quetzalpick_core::id::{Artifact, Domain, Endpoint, Service};
use quetzalpick_core::limit::Warmup;
use quetzalpick_core::route;
use quetzalpick_core::route::Prompts;
use quetzalpick_core::route::pace::Reference;
use quetzalpick_core::table::Table;
use rand::random;
use tokio::sync::Notify;

use crate::fleet::row::Row;
use crate::fleet::selection::Selection;
use crate::fleet::{Build, Builds, Pick, Requirements, Spec};
use crate::place::{Demand, Work};
use crate::sync::lock;

/// `Fleet` tracks all endpoints as observed by this VM, and selects endpoints for requests.
#[derive(Debug)]
pub struct Fleet {
    domain: Domain,
    options: route::Options,
    rows: Mutex<Table<Endpoint, Row>>,
    demand: Mutex<Demand>,
    builds: Mutex<Builds>,
    /// How the endpoints of services start, where they are cold then.
    pub(super) warmups: Mutex<Table<Service, Warmup>>,
    /// Evacuated failure domains, with the times until which they may get requests, in ms; locked after the rows.
    evacuated: Mutex<Table<Domain, u64>>,
    /// Prompts of the requests that this VM has received.
    pub(super) prompts: Mutex<Table<Service, Prompts>>,
    /// Usual times of the services, by route.
    pub(super) references: Mutex<Table<String, Reference>>,
    /// Time of the last contact with the leader, in ms.
    leader_contact_ms: AtomicU64,
    /// Incremented with each change of an entry.
    pub(super) version: AtomicU64,
    /// Newest version of a removed entry: a VM at this version or an older one receives the complete table.
    pub(super) removed_version: AtomicU64,
    /// Time of the last word of a leader on the paces, in ms.
    pub(super) paces_ms: AtomicU64,
    /// Number of VMs that share the endpoints.
    member_count: AtomicU32,
    /// Identifies this process among those that its VM ran.
    pub(super) incarnation: u64,
    /// Number of the last report or draw of room.
    pub(super) report_number: AtomicU64,
    /// Signals that the leader is to be told what is in flight at endpoints that may fall over.
    pub(crate) room_changed: Notify,
    /// Signals that a service runs a further build.
    pub(crate) build_added: Notify,
}

/// Time after a contact for which the leader's reports are used, in ms.
const LEADER_REPORTS_TTL_MS: u64 = 2_000;

impl Fleet {
    /// Creates an empty fleet for a VM in the failure domain `domain`.
    pub fn new(domain: Domain, options: route::Options) -> Self {
        Self {
            domain,
            options,
            rows: Mutex::default(),
            demand: Mutex::default(),
            builds: Mutex::default(),
            warmups: Mutex::default(),
            evacuated: Mutex::default(),
            prompts: Mutex::default(),
            references: Mutex::default(),
            leader_contact_ms: AtomicU64::default(),
            paces_ms: AtomicU64::default(),
            version: AtomicU64::new(1),
            removed_version: AtomicU64::default(),
            member_count: AtomicU32::new(1),
            incarnation: random(),
            report_number: AtomicU64::default(),
            room_changed: Notify::new(),
            build_added: Notify::new(),
        }
    }

    pub(super) fn rows(&self) -> MutexGuard<'_, Table<Endpoint, Row>> {
        lock(&self.rows)
    }

    pub(super) fn evacuated(&self) -> MutexGuard<'_, Table<Domain, u64>> {
        lock(&self.evacuated)
    }

    pub(super) fn options(&self) -> &route::Options {
        &self.options
    }

    pub(super) fn builds(&self) -> MutexGuard<'_, Builds> {
        lock(&self.builds)
    }

    /// Applies an endpoint's spec; returns whether the endpoint is new, has restarted or has changed its state.
    pub fn update(&self, now_ms: u64, endpoint: Endpoint, spec: Spec) -> bool {
        let leader_is_current = self.leader_is_current(now_ms);
        let mut rows = self.rows();
        let former = rows.get(&endpoint).map(|row| &row.spec);
        let same_build = |former: &Spec| former.runs(&spec.service, &spec.build);
        if !former.is_some_and(same_build) {
            let mut builds = self.builds();
            if let Some(Spec { service, build, .. }) = former {
                builds.record(now_ms, service, build, true);
            }
            let mut others = rows.iter();
            let was_present = others.any(|(_, row)| row.spec.runs(&spec.service, &spec.build));
            builds.record(now_ms, &spec.service, &spec.build, was_present);
            if !was_present && builds.has_other(&spec.service, &spec.build) {
                self.build_added.notify_one();
            }
        }
        let is_same = |row: &Row| row.spec.is_same_incarnation(&spec);
        let is_new = !rows.get(&endpoint).is_some_and(is_same);
        let of_service = rows.values().filter(|row| row.spec.service == spec.service);
        let tolerances = of_service.filter_map(|row| row.limited.tolerance());
        let tolerance = is_new.then(|| tolerances.min()).flatten();
        let grace_end_ms = self.evacuated().get(&spec.domain).copied();
        match rows.get_mut(&endpoint) {
            Some(row) => {
                let notable = row.spec.state != spec.state || !row.spec.is_same_incarnation(&spec);
                let changes = !row.spec.is_same_but_cold(&spec) || row.expired_ms.is_some();
                row.update(leader_is_current, spec);
                row.grace_end_ms = grace_end_ms;
                row.limited.assume_tolerance(now_ms, tolerance);
                if self.apply_cold_entry(now_ms, &endpoint, row, is_new) || changes {
                    row.version = self.next_version();
                }
                notable
            }
            None => {
                let mut row = Row::new(spec);
                row.grace_end_ms = grace_end_ms;
                row.limited.assume_tolerance(now_ms, tolerance);
                self.apply_cold_entry(now_ms, &endpoint, &mut row, true);
                row.version = self.next_version();
                rows.insert(endpoint, row);
                true
            }
        }
    }

    pub(super) fn next_version(&self) -> u64 {
        self.version.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the endpoints of the table that are missing from a list.
    pub fn missing_from(&self, listed: &[Endpoint]) -> Vec<Endpoint> {
        let rows = self.rows();
        let missing = rows.keys().filter(|endpoint| !listed.contains(endpoint));
        missing.cloned().collect()
    }

    /// Marks an endpoint's entry as expired; returns whether the endpoint is in the table.
    pub fn expire(&self, now_ms: u64, endpoint: &Endpoint) -> bool {
        let mut rows = self.rows();
        let Some(row) = rows.get_mut(endpoint) else {
            return false;
        };
        if row.expired_ms.is_none() {
            row.expired_ms = Some(now_ms);
            row.version = self.next_version();
        }
        true
    }

    /// Returns whether an endpoint is known whose entry has expired.
    pub(crate) fn is_expired(&self, endpoint: &Endpoint) -> bool {
        let rows = self.rows();
        rows.get(endpoint)
            .is_some_and(|row| row.expired_ms.is_some())
    }

    /// Records a read of all entries that was sent at `sent_ms`, by this VM or by the leader.
    pub fn record_read(&self, sent_ms: u64) {
        self.builds().record_read(sent_ms);
    }

    /// Returns the age of the last read of the entries, in ms.
    pub(crate) fn read_age_ms(&self, now_ms: u64) -> Option<u64> {
        let read_ms = self.builds().read_ms();
        read_ms.map(|read_ms| now_ms.saturating_sub(read_ms))
    }

    /// Returns whether the entries were read recently enough to know every build that another VM may use.
    pub(crate) fn is_current(&self, now_ms: u64) -> bool {
        self.builds().is_current(now_ms)
    }

    /// Returns whether this VM knows every build at which streams of a service began that may be taken up now; `sole_ms` is a time at
    /// which it was known from elsewhere that all of them began at one build.
    pub(crate) fn covers_streams(&self, now_ms: u64, sole_ms: Option<u64>) -> bool {
        self.builds().covers_streams(now_ms, sole_ms)
    }

    /// Returns the builds at which a stream of a service may have begun that may be taken up now, as far as this VM
    /// knows; sorted.
    pub(crate) fn known_builds(&self, now_ms: u64, service: &Service) -> Vec<Build> {
        let present = self.present_builds(service);
        let builds = self.builds();
        let known = builds.known(now_ms, service, present.iter());
        known.into_iter().cloned().collect()
    }

    /// Returns the build at which every stream of a service began that may be taken up now, if that is certain.
    pub fn sole_build(&self, now_ms: u64, service: &Service) -> Option<Build> {
        let present = self.present_builds(service);
        let builds = self.builds();
        builds.sole(now_ms, service, present.iter()).cloned()
    }

    /// Returns the builds of a service's endpoints, one for each run of equal ones.
    fn present_builds(&self, service: &Service) -> Vec<Build> {
        let rows = self.rows();
        let specs = rows.values().map(|row| &row.spec);
        let of_service = specs.filter(|spec| spec.service == *service);
        let mut builds: Vec<&Build> = of_service.map(|spec| &spec.build).collect();
        builds.dedup();
        builds.into_iter().cloned().collect()
    }

    /// Removes the endpoints whose entries expired before `before_ms`, that run no requests of this VM and want no pause.
    pub fn remove_expired(&self, now_ms: u64, before_ms: u64) {
        let expired = |row: &Row| row.expired_ms.is_some_and(|at| at < before_ms);
        self.rows().retain(|_, row| {
            let removes = expired(row) && row.in_flight == 0 && row.pause_ms(now_ms) == 0;
            if removes {
                self.removed_version
                    .fetch_max(row.version, Ordering::Relaxed);
                self.builds()
                    .record(now_ms, &row.spec.service, &row.spec.build, true);
            }
            !removes
        });
    }

    /// Selects an endpoint for a request; `None` if no endpoint that accepts requests meets the requirements.
    pub fn pick(
        self: &Arc<Self>,
        now_ms: u64,
        requirements: &Requirements<'_>,
        random: u64,
    ) -> Option<Pick> {
        let prompt = self.classify_prompt(requirements);
        let mut rows = self.rows();
        let selection = Selection {
            prompt,
            now_ms,
            requirements,
            members: self.member_count.load(Ordering::Relaxed),
            pace_age_ms: now_ms.saturating_sub(self.paces_ms.load(Ordering::Relaxed)),
            domain: &self.domain,
            uses_evacuated: false,
            options: &self.options,
            random,
        };
        let selected = selection.select(&rows, &self.builds());
        let last_resort = Selection {
            uses_evacuated: true,
            ..selection
        };
        let selected = selected.or_else(|| {
            let resort = (!self.evacuated().is_empty()).then_some(last_resort);
            resort?.select(&rows, &self.builds())
        });
        let (endpoint, choice, permit) = selected?;
        let row = rows.get_mut(&endpoint)?;
        let load = row.in_flight + row.others_in_flight;
        let pace_permille = row.pace.permille(selection.pace_age_ms);
        row.in_flight += 1;
        row.awaiting += u32::from(permit.is_some());
        row.dispatched += 1;
        row.pace.add_prompt(prompt.tokens);
        Some(Pick {
            endpoint,
            address: row.spec.address,
            build: row.spec.build.clone(),
            started_ms: row.spec.started_ms,
            permit,
            awaits_permit: permit.is_some(),
            reason: choice.reason,
            load,
            pace_permille,
            prompt_tokens: prompt.tokens,
            fleet: Arc::clone(self),
        })
    }

    /// Returns the address of an endpoint.
    pub(crate) fn address(&self, endpoint: &Endpoint) -> Option<SocketAddr> {
        self.rows().get(endpoint).map(|row| row.spec.address)
    }

    /// Returns the number of endpoints.
    pub(crate) fn count(&self) -> usize {
        self.rows().len()
    }

    /// Replaces an endpoint's copies by those that the leader reports.
    pub fn set_copies(&self, now_ms: u64, endpoint: &Endpoint, copies: &[Artifact]) {
        self.record_leader_contact(now_ms);
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.set_leader_copies(copies);
        }
    }

    /// Records a contact with the leader.
    pub fn record_leader_contact(&self, now_ms: u64) {
        self.leader_contact_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Returns whether this VM ever had contact with a leader.
    pub(super) fn had_leader(&self) -> bool {
        self.leader_contact_ms.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the leader's reports take precedence over the endpoints' own entries, which are older.
    fn leader_is_current(&self, now_ms: u64) -> bool {
        now_ms < self.leader_contact_ms.load(Ordering::Relaxed) + LEADER_REPORTS_TTL_MS
    }

    /// Replaces the numbers of requests in flight from other VMs.
    pub fn set_other_loads(&self, now_ms: u64, loads: &[(Endpoint, u32)]) {
        let mut rows = self.rows();
        for (_, row) in rows.iter_mut() {
            row.others_in_flight = 0;
            row.dispatched = 0;
        }
        for (endpoint, load) in loads {
            if let Some(row) = rows.get_mut(endpoint) {
                row.others_in_flight = *load;
                row.others_reported_ms = now_ms;
            }
        }
    }

    /// Returns the number of requests of this VM in flight, by endpoint.
    pub fn loads(&self) -> Vec<(Endpoint, u32)> {
        let rows = self.rows();
        let busy = rows.iter().filter(|(_, row)| row.in_flight > 0);
        busy.map(|(name, row)| (name.clone(), row.in_flight))
            .collect()
    }

    /// Returns the number of endpoints with requests of this VM in flight.
    pub(crate) fn busy_count(&self) -> usize {
        let rows = self.rows();
        rows.values().filter(|row| row.in_flight > 0).count()
    }

    /// Returns the specs of the endpoints whose entries have not expired.
    pub fn specs(&self) -> Vec<(Endpoint, Spec)> {
        let rows = self.rows();
        let present = rows.iter().filter(|(_, row)| row.expired_ms.is_none());
        present
            .map(|(name, row)| (name.clone(), row.present_spec()))
            .collect()
    }

    /// Records a request for a model and, if given, its adapter.
    pub fn record_demand(&self, artifacts: &[&Artifact], answer_tokens: u64) {
        let mut demand = lock(&self.demand);
        artifacts
            .iter()
            .for_each(|artifact| demand.record(artifact, answer_tokens));
    }

    /// Returns the demand for models and adapters from the requests of this VM.
    pub fn work(&self, now_ms: u64) -> Vec<(Artifact, Work)> {
        let mut demand = lock(&self.demand);
        demand.update(now_ms)
    }

    /// Records that an endpoint answered a request.
    pub fn record_success(&self, now_ms: u64, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.health.record_success(now_ms);
            row.unreachable_ms = None;
        }
    }

    /// Records a failure caused by the endpoint; returns whether the endpoint is ejected for it.
    pub fn record_failure(&self, now_ms: u64, endpoint: &Endpoint) -> bool {
        let mut rows = self.rows();
        let row = rows.get_mut(endpoint);
        row.is_some_and(|row| row.health.record_failure(now_ms, &self.options.health))
    }

    /// Records a failed connection to an endpoint, which ejects it at once.
    pub fn mark_unreachable(&self, now_ms: u64, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.health.mark_unreachable(now_ms, &self.options.health);
            row.unreachable_ms = Some(now_ms);
        }
    }

    /// Records that an endpoint was reached other than by a request.
    pub fn mark_reachable(&self, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.unreachable_ms = None;
        }
    }

    /// Returns the endpoints that this VM recently failed to reach.
    pub fn unreachable(&self, now_ms: u64) -> Vec<Endpoint> {
        self.endpoints_where(|row| row.is_unreachable(now_ms))
    }

    /// Returns the endpoints that may be gone or may have restarted, judged by recent failures at this VM.
    pub fn suspected(&self, now_ms: u64) -> Vec<Endpoint> {
        self.endpoints_where(|row| row.is_suspected(now_ms))
    }

    pub(super) fn endpoints_where(&self, predicate: impl Fn(&Row) -> bool) -> Vec<Endpoint> {
        let rows = self.rows();
        let matching = rows.iter().filter(|(_, row)| predicate(row));
        matching.map(|(name, _)| name.clone()).collect()
    }

    /// Sets the number of VMs that share the endpoints.
    pub fn set_member_count(&self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.member_count.store(count, Ordering::Relaxed);
    }

    /// Records that an endpoint refused a request because it lacks an artifact that it was assumed to hold.
    pub fn record_missing(&self, now_ms: u64, endpoint: &Endpoint, artifacts: &[&Artifact]) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.copy_missing_ms = Some(now_ms);
            row.missing_copies
                .extend(artifacts.last().map(|a| (*a).clone()));
        }
    }
}
