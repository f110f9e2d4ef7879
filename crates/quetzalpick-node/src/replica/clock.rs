//! Monotonic clock of the process.

use std::time::Duration;

use tokio::time::Instant;

/// `Clock` measures monotonic time in ms since its creation; times of different processes are not comparable.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at 0.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since creation, in ms.
    pub(crate) fn now(&self) -> u64 {
        millis(self.start.elapsed())
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
