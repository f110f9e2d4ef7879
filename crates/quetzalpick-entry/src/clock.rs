//! A clock that goes on while the VM is suspended.

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Nanoseconds in one millisecond.
const NS_PER_MS: u64 = 1_000_000;

/// `Clock` counts milliseconds; leases, ages of reads and buckets are measured on it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source: Source,
}

/// `Source` is what a clock reads.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// The system's clock since boot, which counts suspension.
    Boot,
    /// The runtime's clock, which tests pause.
    Runtime(Instant),
}

impl Clock {
    /// Returns the clock that counts suspension.
    pub fn boot() -> Self {
        let source = Source::Boot;
        Self { source }
    }

    /// Returns a clock that follows the runtime's, for tests.
    pub fn runtime() -> Self {
        let source = Source::Runtime(Instant::now());
        Self { source }
    }

    /// Returns the present time in ms.
    ///
    /// # Panics
    ///
    /// If the system has no clock since boot.
    pub fn now_ms(self) -> u64 {
        match self.source {
            Source::Boot => {
                let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("a clock since boot");
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
