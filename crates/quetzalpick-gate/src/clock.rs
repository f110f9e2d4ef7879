//! The gate's monotonic clock.

use tokio::time::Instant;

/// `Clock` counts milliseconds since it was made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
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
