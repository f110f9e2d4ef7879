//! Monotonic clock of the gate.

use tokio::time::Instant;

/// `Clock` measures the milliseconds since its creation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start.
    pub(crate) fn now_ms(self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
