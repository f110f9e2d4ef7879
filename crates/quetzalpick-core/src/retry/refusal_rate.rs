//! When callers that found no place are to come back.
//!
//! The load that this answers: more requests than places for some seconds, as when a burst meets crashed endpoints. Callers that
//! all come back at once find the places taken again; those that come back later, one by one, find places that came free.

/// `RetryAfter` sets when callers come back.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryAfter {
    /// Time after which a place may be free in a service that refuses hardly anybody, in ms.
    pub soon_ms: u64,
    /// Time beyond that for a service that refuses everybody, in ms.
    pub late_ms: u64,
    /// Time over which refusals count, in ms.
    pub memory_ms: u64,
}

impl Default for RetryAfter {
    fn default() -> Self {
        Self {
            soon_ms: 250,
            late_ms: 1_500,
            memory_ms: 1_000,
        }
    }
}

/// `RefusalRate` is the share of the requests for a service that found no place of late.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RefusalRate {
    /// Requests, each counting less the longer ago it was.
    asked: f64,
    /// Of these, those that found no place.
    refused: f64,
    recorded_ms: u64,
}

impl RefusalRate {
    /// Notes whether a request found no place.
    pub fn record(&mut self, now_ms: u64, refused: bool, options: &RetryAfter) {
        let elapsed_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        let kept = (-elapsed_ms / options.memory_ms.max(1) as f64).exp();
        self.recorded_ms = now_ms;
        self.asked = self.asked * kept + 1.0;
        self.refused = self.refused * kept + f64::from(u8::from(refused));
    }

    /// Returns when a caller that found no place is to come back, in ms; between half of the longest time and all of it.
    pub fn retry_after_ms(&self, options: &RetryAfter, random: u64) -> u64 {
        let share = if self.asked > 0.0 {
            self.refused / self.asked
        } else {
            0.0
        };
        let longest_ms = options.soon_ms + (share * options.late_ms as f64) as u64;
        let half_ms = longest_ms / 2;
        half_ms + random % (longest_ms - half_ms + 1)
    }
}
