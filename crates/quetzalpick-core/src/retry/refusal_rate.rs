//! Computes when callers that found no free slot should retry.
//!
//! This handles a load that exceeds the slots for some seconds, such as a burst while endpoints are down. Callers that all retry at
//! once find the slots taken again; callers that retry later and spread out find free ones.

/// `RetryAfter` sets how long refused callers wait before they retry.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryAfter {
    /// Maximum wait for a service that refuses hardly any request, in ms; a slot is likely to be free by then.
    pub base_ms: u64,
    /// Additional wait for a service that refuses all requests, in ms; scaled by the refusal rate.
    pub pressure_ms: u64,
    /// Time constant with which past requests decay, in ms.
    pub time_constant_ms: u64,
}

impl Default for RetryAfter {
    fn default() -> Self {
        Self {
            base_ms: 250,
            pressure_ms: 1_500,
            time_constant_ms: 1_000,
        }
    }
}

/// `RefusalRate` tracks the share of recent requests for a service that found no free slot.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RefusalRate {
    /// Exponentially decayed number of requests.
    requests: f64,
    /// Exponentially decayed number of requests that found no free slot.
    refused: f64,
    recorded_ms: u64,
}

impl RefusalRate {
    /// Records a request and whether it found no free slot.
    pub fn record(&mut self, now_ms: u64, refused: bool, options: &RetryAfter) {
        let elapsed_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        let decay = (-elapsed_ms / options.time_constant_ms.max(1) as f64).exp();
        self.recorded_ms = now_ms;
        self.requests = self.requests * decay + 1.0;
        self.refused = self.refused * decay + f64::from(u8::from(refused));
    }

    /// Returns the time after which a refused caller should retry, in ms: at random between half of the maximum wait and all of it.
    pub fn retry_after_ms(&self, options: &RetryAfter, random: u64) -> u64 {
        let share = if self.requests > 0.0 {
            self.refused / self.requests
        } else {
            0.0
        };
        let longest_ms = options.base_ms + (share * options.pressure_ms as f64) as u64;
        let half_ms = longest_ms / 2;
        half_ms + random % (longest_ms - half_ms + 1)
    }
}
