//! Observed state of one endpoint.

use quetzalpick_client::wire::engine::{Events, Report};
use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::route::{Health, Load, PrefixCache};

/// Maximum number of dispatch times kept between two reports.
const DISPATCHES_MAX: usize = 1_024;

/// `EndpointState` tracks load, health, cached prefixes and loaded artifacts of one endpoint, as observed by this gate.
#[derive(Debug, Clone)]
pub(crate) struct EndpointState {
    /// Passive health, from the results of this gate's requests.
    pub(crate) health: Health,
    /// This gate's requests in flight.
    pub(crate) in_flight: u32,
    /// Number of the next cache event to fetch.
    pub(crate) next_event: u64,
    /// Prompt prefixes that the endpoint's cache is assumed to hold.
    prefix_cache: PrefixCache,
    /// Whether the endpoint itself reported that it is leaving.
    reported_leaving: bool,
    /// Whether the VM list marks it as leaving.
    listed_leaving: bool,
    /// Incarnation in the last report; `None` before the first report.
    incarnation: Option<u64>,
    /// Names of the artifacts loaded according to the last report, sorted.
    loaded: Vec<String>,
    /// Requests running and waiting according to the last report.
    reported: u32,
    /// Time at which the reported load was measured, in ms.
    reported_ms: u64,
    /// Times of this gate's dispatches since `reported_ms`, in ms.
    dispatches: Vec<u64>,
}

impl EndpointState {
    /// Creates the state of an endpoint that has not been observed yet.
    pub(crate) fn new(prefix_cache: PrefixCache) -> Self {
        Self {
            health: Health::default(),
            in_flight: 0,
            next_event: 0,
            prefix_cache,
            reported_leaving: false,
            listed_leaving: false,
            incarnation: None,
            loaded: Vec::new(),
            reported: 0,
            reported_ms: 0,
            dispatches: Vec::new(),
        }
    }

    /// Records a dispatched request.
    pub(crate) fn record_dispatch(&mut self, now_ms: u64) {
        self.in_flight += 1;
        if self.dispatches.len() < DISPATCHES_MAX {
            self.dispatches.push(now_ms);
        }
    }

    /// Applies a report and returns whether the engine has restarted since the last one.
    pub(crate) fn apply_report(
        &mut self,
        now_ms: u64,
        endpoint: &Endpoint,
        report: &Report,
    ) -> bool {
        let restarted = self
            .incarnation
            .is_some_and(|incarnation| incarnation != report.incarnation);
        if restarted {
            self.next_event = 0;
            self.prefix_cache.forget(endpoint);
        }
        self.incarnation = Some(report.incarnation);
        self.loaded = report.loaded.iter().map(|c| c.artifact.clone()).collect();
        self.loaded.sort();
        self.reported = report.running.saturating_add(report.waiting);
        // The reported load lags, so its time is set back by its age.
        self.reported_ms = now_ms.saturating_sub(report.load_age_ms);
        self.dispatches.retain(|sent| *sent > self.reported_ms);
        self.reported_leaving = report.leaving;
        restarted
    }

    /// Applies cache events.
    pub(crate) fn apply_events(&mut self, now_ms: u64, endpoint: &Endpoint, events: &Events) {
        self.next_event = events.next;
        for event in &events.events {
            if let Ok(artifact) = Artifact::try_new(&event.artifact) {
                let cache = &mut self.prefix_cache;
                cache.record(now_ms, endpoint, &artifact, event.prefix, event.cached);
            }
        }
    }

    /// Records that the endpoint's cache now holds the prompt blocks with these hashes.
    pub(crate) fn record_cached_prompt(
        &mut self,
        now_ms: u64,
        endpoint: &Endpoint,
        artifact: &Artifact,
        prefixes: &[u64],
    ) {
        for prefix in prefixes {
            let cache = &mut self.prefix_cache;
            cache.record(now_ms, endpoint, artifact, *prefix, true);
        }
    }

    /// Returns how many leading blocks of a prompt the endpoint's cache is assumed to hold.
    pub(crate) fn cached_blocks(
        &self,
        now_ms: u64,
        endpoint: &Endpoint,
        artifact: &Artifact,
        prefixes: &[u64],
    ) -> u32 {
        self.prefix_cache
            .cached_blocks(now_ms, endpoint, artifact, prefixes)
    }

    /// Records that the endpoint refused a request because it is leaving.
    pub(crate) fn mark_leaving(&mut self) {
        self.reported_leaving = true;
    }

    /// Records whether the VM list marks the endpoint as leaving.
    pub(crate) fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Returns whether the endpoint is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.reported_leaving || self.listed_leaving
    }

    /// Returns true if the last report does not list an artifact as loaded; false before the first report.
    pub(crate) fn is_reported_missing(&self, artifact: &str) -> bool {
        let compare = |name: &String| name.as_str().cmp(artifact);
        self.incarnation.is_some() && self.loaded.binary_search_by(compare).is_err()
    }

    /// Returns the load that routing compares.
    pub(crate) fn load(&self) -> Load {
        Load {
            in_flight: self.in_flight,
            reported: self.reported,
            reported_ms: self.reported_ms,
            // At most `DISPATCHES_MAX` entries are kept.
            dispatched_since: self.dispatches.len() as u32,
            ..Load::default()
        }
    }
}
