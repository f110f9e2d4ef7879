//! The measured speed at which a queue is served.

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Weight of the newest measure in the smoothed speed: one part of this many.
const SMOOTHING: u64 = 8;

/// `Speed` measures tokens per second over the time in which requests were waiting.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Speed {
    /// Smoothed speed in tokens per second; 0 before the first measure.
    smoothed: u64,
    /// Begin of the present measure, in ms; `None` while nothing waits.
    since_ms: Option<u64>,
    /// Tokens dispatched since then.
    tokens: u64,
}

/// A measure covers at least this time, in ms.
const MEASURE_MIN_MS: u64 = 100;

impl Speed {
    /// Notes that requests wait from now on; without effect if they do already.
    pub(crate) fn start(&mut self, now_ms: u64) {
        if self.since_ms.is_none() {
            self.since_ms = Some(now_ms);
            self.tokens = 0;
        }
    }

    /// Notes that nothing waits any more: idle time says nothing about the speed.
    pub(crate) fn stop(&mut self) {
        self.since_ms = None;
    }

    /// Notes tokens dispatched while requests were waiting.
    pub(crate) fn dispatch(&mut self, now_ms: u64, tokens: u64) {
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

    /// Returns the time that tokens take, in ms; 0 while the speed is not known.
    pub(crate) fn time_ms(&self, tokens: u64) -> u64 {
        match self.smoothed {
            0 => 0,
            speed => tokens.saturating_mul(MS_PER_S) / speed,
        }
    }
}
