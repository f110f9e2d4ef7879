//! What this gate has seen of one endpoint.

use quetzalpick_client::wire::engine::{Events, Report};
use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::route::{Health, Load, PrefixCache};

/// Dispatches remembered between two reports.
const DISPATCHES_MAX: usize = 1_024;

/// `Seen` is what this gate has seen of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    /// Health, by own requests.
    pub(crate) health: Health,
    /// Requests of this gate under way.
    pub(crate) in_flight: u32,
    /// Number to ask cache events from.
    pub(crate) next_event: u64,
    /// Prompt prefixes that its cache is thought to hold.
    prefix_cache: PrefixCache,
    /// Whether the endpoint itself said that it is leaving.
    says_leaving: bool,
    /// Whether the VM list says that it is leaving.
    listed_leaving: bool,
    /// Incarnation last reported; `None` before the first report.
    incarnation: Option<u64>,
    /// Names of what it holds by its last report, sorted.
    loaded: Vec<String>,
    /// Requests running and waiting by its last report.
    reported: u32,
    /// Time that the report speaks of, in ms.
    reported_ms: u64,
    /// Times of own dispatches since then, in ms.
    dispatches: Vec<u64>,
}

impl Seen {
    /// Returns a view of an endpoint that nothing is known of.
    pub(crate) fn new(prefix_cache: PrefixCache) -> Self {
        Self {
            health: Health::default(),
            in_flight: 0,
            next_event: 0,
            prefix_cache,
            says_leaving: false,
            listed_leaving: false,
            incarnation: None,
            loaded: Vec::new(),
            reported: 0,
            reported_ms: 0,
            dispatches: Vec::new(),
        }
    }

    /// Notes a dispatch.
    pub(crate) fn dispatch(&mut self, now_ms: u64) {
        self.in_flight += 1;
        if self.dispatches.len() < DISPATCHES_MAX {
            self.dispatches.push(now_ms);
        }
    }

    /// Takes in a report and tells whether the engine has restarted since the last one.
    pub(crate) fn report(&mut self, now_ms: u64, endpoint: &Endpoint, report: &Report) -> bool {
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
        // The load lags, so it is dated back by its age.
        self.reported_ms = now_ms.saturating_sub(report.load_age_ms);
        self.dispatches.retain(|sent| *sent > self.reported_ms);
        self.says_leaving = report.leaving;
        restarted
    }

    /// Takes in cache events.
    pub(crate) fn events(&mut self, now_ms: u64, endpoint: &Endpoint, events: &Events) {
        self.next_event = events.next;
        for event in &events.events {
            if let Ok(artifact) = Artifact::try_new(&event.artifact) {
                let cache = &mut self.prefix_cache;
                cache.record(now_ms, endpoint, &artifact, event.prefix, event.cached);
            }
        }
    }

    /// Notes that the cache now holds a prompt whose block hashes these are.
    pub(crate) fn cache(
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

    /// Returns how many leading blocks of a prompt the cache is thought to hold.
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

    /// Notes that the endpoint refused a request because it is leaving.
    pub(crate) fn refuse_leaving(&mut self) {
        self.says_leaving = true;
    }

    /// Takes in what the VM list says.
    pub(crate) fn list(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Tells whether the endpoint is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.says_leaving || self.listed_leaving
    }

    /// Tells whether the last report contradicts that the endpoint holds an artifact.
    pub(crate) fn lacks(&self, artifact: &str) -> bool {
        let held = |name: &String| name.as_str().cmp(artifact);
        self.incarnation.is_some() && self.loaded.binary_search_by(held).is_err()
    }

    /// Returns the load for the choice.
    pub(crate) fn load(&self) -> Load {
        Load {
            in_flight: self.in_flight,
            reported: self.reported,
            reported_ms: self.reported_ms,
            // At most `DISPATCHES_MAX` entries are kept.
            dispatched_since: self.dispatches.len() as u32,
        }
    }
}
