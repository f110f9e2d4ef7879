//! A clock that keeps running while the VM is suspended.

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

const MS_PER_S: u64 = 1_000;
const NS_PER_MS: u64 = 1_000_000;

/// `Clock` returns the time in ms by which leases, ages of reads and token buckets are measured.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source: Source,
}

/// `Source` selects the underlying clock.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// Time since the system's boot, including suspension.
    Boot,
    /// The clock of the tokio runtime, which tests can pause.
    Runtime(Instant),
}

impl Clock {
    /// Returns a clock that includes the time of suspension.
    pub fn boot() -> Self {
        let source = Source::Boot;
        Self { source }
    }

    /// Returns a clock that follows the tokio runtime, for tests.
    pub fn runtime() -> Self {
        let source = Source::Runtime(Instant::now());
        Self { source }
    }

    /// Returns the current time in ms.
    ///
    /// # Panics
    ///
    /// If the system does not support `CLOCK_BOOTTIME`.
    pub fn now_ms(self) -> u64 {
        match self.source {
            Source::Boot => {
                let now = clock_gettime(ClockId::CLOCK_BOOTTIME)
                    .expect("the system supports CLOCK_BOOTTIME");
                let seconds = u64::try_from(now.tv_sec()).unwrap_or_default();
                let nanos = u64::try_from(now.tv_nsec()).unwrap_or_default();
                seconds * MS_PER_S + nanos / NS_PER_MS
            }
            Source::Runtime(start) => {
                u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
            }
        }
    }
}
