//! When a VM need not read a topic itself, as the leader passes on what it reads.

/// `Options` set how long a relay spares reads; both times together stay below the time in which changes must be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Most that the leader's read may be old, in ms: a read waits for news for a while.
    pub age_ms: u64,
    /// Most that the leader's word may be old, in ms.
    pub silence_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            age_ms: 1_600,
            silence_ms: 900,
        }
    }
}

/// `Freshness` is what the leader has passed on last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// When that came, in ms.
    recorded_ms: Option<u64>,
    /// When the read that it speaks of was sent, in ms.
    read_ms: u64,
}

impl Freshness {
    /// Notes that the leader passed on what a read sent at `read_ms` showed.
    pub fn record(&mut self, now_ms: u64, read_ms: u64) {
        self.recorded_ms = Some(now_ms);
        self.read_ms = self.read_ms.max(read_ms);
    }

    /// Tells whether an own read is spared.
    pub fn is_current(&self, now_ms: u64, options: &Options) -> bool {
        let Some(recorded_ms) = self.recorded_ms else {
            return false;
        };
        now_ms < recorded_ms + options.silence_ms && now_ms <= self.read_ms + options.age_ms
    }
}
