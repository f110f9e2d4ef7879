//! Measures the throughput at which a queue is served.

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// The newest measurement enters the smoothed throughput with a weight of one over this number.
const SMOOTHING: u64 = 8;

/// `Throughput` measures tokens dispatched per second while requests are waiting.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Throughput {
    /// Smoothed throughput in tokens per second; 0 before the first measurement.
    smoothed: u64,
    /// Start of the current measurement, in ms; `None` while nothing waits.
    since_ms: Option<u64>,
    /// Tokens dispatched since then.
    tokens: u64,
}

/// Minimum duration of a measurement, in ms.
const MEASURE_MIN_MS: u64 = 100;

impl Throughput {
    /// Starts a measurement when requests begin to wait; no effect if one is running.
    pub(crate) fn start(&mut self, now_ms: u64) {
        if self.since_ms.is_none() {
            self.since_ms = Some(now_ms);
            self.tokens = 0;
        }
    }

    /// Stops the measurement when nothing waits, because idle time is no indication of the throughput.
    pub(crate) fn stop(&mut self) {
        self.since_ms = None;
    }

    /// Records tokens dispatched while requests are waiting.
    pub(crate) fn record_dispatch(&mut self, now_ms: u64, tokens: u64) {
        let Some(since_ms) = self.since_ms else {
            return;
        };
        self.tokens = self.tokens.saturating_add(tokens);
        let elapsed = now_ms.saturating_sub(since_ms);
        if elapsed < MEASURE_MIN_MS {
            return;
        }
        let measured = (self.tokens.saturating_mul(MS_PER_S) / elapsed).max(1);
        self.smoothed = match self.smoothed {
            0 => measured,
            old => (old.saturating_mul(SMOOTHING - 1).saturating_add(measured) / SMOOTHING).max(1),
        };
        self.since_ms = Some(now_ms);
        self.tokens = 0;
    }

    /// Returns the time needed to serve tokens, in ms; 0 before the first measurement.
    pub(crate) fn time_ms(&self, tokens: u64) -> u64 {
        match self.smoothed {
            0 => 0,
            throughput => tokens.saturating_mul(MS_PER_S) / throughput,
        }
    }
}
