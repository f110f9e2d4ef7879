//! Hints about which endpoints hold which prompt prefixes in their caches.

use crate::id::{Artifact, Endpoint};

/// `Prefixes` remembers cache events, which come late and with gaps, and own dispatches; entries age out.
#[derive(Debug, Clone, Default)]
pub struct Prefixes {
    rows: Vec<Endpoint>,
}

impl Prefixes {
    /// Returns an empty memory of at most `capacity` hints, each trusted for `max_age_ms`.
    pub fn new(capacity: usize, max_age_ms: u64) -> Self {
        let _ = (capacity, max_age_ms);
        Self::default()
    }

    /// Notes that a prefix entered or left the cache of an endpoint.
    pub fn note(
        &mut self,
        now_ms: u64,
        endpoint: &Endpoint,
        artifact: &Artifact,
        prefix: u64,
        cached: bool,
    ) {
        let _ = (now_ms, endpoint, artifact, prefix, cached);
    }

    /// Returns how many leading blocks of a prompt an endpoint is thought to hold; `prefixes[n]` is the hash of the
    /// first `n + 1` blocks.
    pub fn longest(
        &self,
        now_ms: u64,
        endpoint: &Endpoint,
        artifact: &Artifact,
        prefixes: &[u64],
    ) -> u32 {
        let _ = (now_ms, endpoint, artifact, prefixes);
        0
    }

    /// Forgets all hints about an endpoint, as after its restart.
    pub fn forget(&mut self, endpoint: &Endpoint) {
        self.rows.retain(|row| row != endpoint);
    }
}
