//! Endpoints that are cold: slow for a while after a start, in which they take few requests.

use crate::limit::Rate;

/// Difference up to which two ends named by different VMs are taken for the same, in ms: messages between them take some time.
const SAME_END_MS: u64 = 500;

/// `Warmup` describes how the endpoints of a service start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Warmup {
    /// Time for which an endpoint is cold after its start, in ms.
    pub duration_ms: u64,
    /// Requests that it takes from all VMs together while it is cold.
    pub rate: Rate,
}

/// `Cold` tracks until when an endpoint is cold. The latest end that is known counts: what says otherwise may be older.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cold {
    until_ms: u64,
}

impl Cold {
    /// Returns how much longer the endpoint is cold, in ms; 0 if it is not.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }

    /// Applies for how much longer the endpoint is cold, in ms, as it has said to this VM; returns whether others should be told.
    pub fn observe(&mut self, now_ms: u64, left_ms: u64) -> bool {
        let is_news = self.is_news(now_ms, left_ms);
        self.until_ms = self.until_ms.max(now_ms.saturating_add(left_ms));
        is_news
    }

    /// Applies for how much longer another VM takes the endpoint to be cold, in ms; returns whether that changes anything. An end
    /// that is hardly later is the known one: VMs that took it from each other would move it on without end.
    pub fn learn(&mut self, now_ms: u64, left_ms: u64) -> bool {
        self.is_news(now_ms, left_ms) && self.observe(now_ms, left_ms)
    }

    fn is_news(&self, now_ms: u64, left_ms: u64) -> bool {
        let told_ms = now_ms.saturating_add(left_ms);
        left_ms > 0 && told_ms > self.until_ms.saturating_add(SAME_END_MS)
    }
}
