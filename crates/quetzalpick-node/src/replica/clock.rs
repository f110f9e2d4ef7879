//! The process's monotonic clock.

use std::time::Duration;

use tokio::time::Instant;

/// `Clock` counts milliseconds on a monotonic clock since it was made; its readings mean nothing to other processes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts counting.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start, in ms.
    pub(crate) fn now(&self) -> u64 {
        millis(self.start.elapsed())
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
