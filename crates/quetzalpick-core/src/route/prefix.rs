//! Hints about the prompt prefixes in the caches of endpoints.

use crate::id::{Artifact, Endpoint};
use crate::table::Table;

/// `PrefixCache` stores hints from cache events, which may be late or missing, and from own dispatches.
///
/// A hint only raises an endpoint's preference, so a wrong one costs nothing but time. Hints expire because the event that a
/// prefix left the cache may be missing.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    max_age_ms: u64,
    /// Time of the newest hint for each endpoint, artifact and prefix hash, in ms.
    hints: Table<(Endpoint, Artifact, u64), u64>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `capacity` hints, each valid for `max_age_ms`.
    pub fn new(capacity: usize, max_age_ms: u64) -> Self {
        Self {
            capacity,
            max_age_ms,
            hints: Table::default(),
        }
    }

    /// Records that a prefix entered or left the cache of an endpoint.
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

    /// Returns the number of leading blocks of a prompt that an endpoint's cache is assumed to hold; `prefixes[n]` is the hash of
    /// the first `n + 1` blocks.
    pub fn cached_blocks(
        &self,
        now_ms: u64,
        endpoint: &Endpoint,
        artifact: &Artifact,
        prefixes: &[u64],
    ) -> u32 {
        // A longer prefix includes the shorter ones, whose events may be missing, so only the longest one with a hint counts.
        let has_hint = |prefix: &u64| {
            let key = (endpoint.clone(), artifact.clone(), *prefix);
            self.hints
                .get(&key)
                .is_some_and(|recorded_ms| self.is_fresh(now_ms, *recorded_ms))
        };
        let longest = prefixes.iter().rposition(has_hint);
        longest.map_or(0, |index| u32::try_from(index + 1).unwrap_or(u32::MAX))
    }

    /// Removes all hints for an endpoint, for instance after its restart.
    pub fn forget(&mut self, endpoint: &Endpoint) {
        self.hints.retain(|(holder, _, _), _| holder != endpoint);
    }

    /// Returns the number of hints.
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// Returns true if there are no hints.
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }

    fn is_fresh(&self, now_ms: u64, recorded_ms: u64) -> bool {
        now_ms.saturating_sub(recorded_ms) < self.max_age_ms
    }

    /// Frees capacity: removes expired hints, and the older half if that is not enough.
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
