//! Hints about which endpoints hold which prompt prefixes in their caches.

use crate::id::{Artifact, Endpoint};
use crate::table::Table;

/// `PrefixCache` remembers cache events, which come late and with gaps, and own dispatches.
///
/// A hint only makes an endpoint more attractive, so a wrong one costs time and nothing else. Hints age out, because the
/// event that a prefix left the cache may be among those that are missing.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    max_age_ms: u64,
    /// Time of the newest hint by endpoint, artifact and prefix hash.
    hints: Table<(Endpoint, Artifact, u64), u64>,
}

impl PrefixCache {
    /// Returns an empty memory of at most `capacity` hints, each trusted for `max_age_ms`.
    pub fn new(capacity: usize, max_age_ms: u64) -> Self {
        Self {
            capacity,
            max_age_ms,
            hints: Table::default(),
        }
    }

    /// Notes that a prefix entered or left the cache of an endpoint.
    pub fn record(
        &mut self,
        now_ms: u64,
        endpoint: &Endpoint,
        artifact: &Artifact,
        prefix: u64,
        cached: bool,
    ) {
        let key = (endpoint.clone(), artifact.clone(), prefix);
        if !cached {
            self.hints.remove(&key);
            return;
        }
        if self.hints.len() >= self.capacity && !self.hints.contains(&key) {
            self.evict(now_ms);
        }
        self.hints.insert(key, now_ms);
    }

    /// Returns how many leading blocks of a prompt an endpoint is thought to hold; `prefixes[n]` is the hash of the
    /// first `n + 1` blocks.
    pub fn cached_blocks(
        &self,
        now_ms: u64,
        endpoint: &Endpoint,
        artifact: &Artifact,
        prefixes: &[u64],
    ) -> u32 {
        // A longer prefix includes the shorter ones, whose events may be missing; so the longest known one counts.
        let known = |prefix: &u64| {
            let key = (endpoint.clone(), artifact.clone(), *prefix);
            self.hints
                .get(&key)
                .is_some_and(|recorded_ms| self.is_fresh(now_ms, *recorded_ms))
        };
        let longest = prefixes.iter().rposition(known);
        longest.map_or(0, |at| u32::try_from(at + 1).unwrap_or(u32::MAX))
    }

    /// Forgets all hints about an endpoint, as after its restart.
    pub fn forget(&mut self, endpoint: &Endpoint) {
        self.hints.retain(|(holder, _, _), _| holder != endpoint);
    }

    /// Returns the number of hints.
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// Tells whether there are no hints.
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }

    fn is_fresh(&self, now_ms: u64, recorded_ms: u64) -> bool {
        now_ms.saturating_sub(recorded_ms) < self.max_age_ms
    }

    /// Makes room: drops what has aged out, and the older half if that is not enough.
    fn evict(&mut self, now_ms: u64) {
        let max_age_ms = self.max_age_ms;
        self.hints
            .retain(|_, recorded_ms| now_ms.saturating_sub(*recorded_ms) < max_age_ms);
        if self.hints.len() < self.capacity {
            return;
        }
        let mut times: Vec<u64> = self.hints.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.hints.retain(|_, recorded_ms| *recorded_ms > median);
    }
}
