//! Decides when a VM can skip reading a topic because the leader forwards what it reads.

/// `Options` limits how long forwarded reads replace own reads; the sum of both limits stays below the time in which changes must
/// be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Maximum age of the leader's read, in ms; it allows for the time that a read waits for new records.
    pub read_age_max_ms: u64,
    /// Maximum time since the leader's last message, in ms.
    pub silence_max_ms: u64,
    /// Maximum age of the leader's read where its messages are so far apart that they last longer than `silence_max_ms`, in ms; below
    /// the time in which changes must be in force at so many VMs.
    pub rare_read_age_max_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            read_age_max_ms: 1_600,
            silence_max_ms: 900,
            rare_read_age_max_ms: 2_500,
        }
    }
}

/// `Freshness` tracks the age of the last read that the leader forwarded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// When the leader's last message arrived, in ms.
    recorded_ms: Option<u64>,
    /// When the newest forwarded read was sent, in ms.
    read_ms: u64,
    /// Time until the leader's next message is due, in ms.
    interval_ms: u64,
}

impl Freshness {
    /// Records a message of the leader with the result of a read sent at `read_ms`; the next one is due after `interval_ms`.
    pub fn record(&mut self, now_ms: u64, read_ms: u64, interval_ms: u64) {
        self.recorded_ms = Some(now_ms);
        self.interval_ms = interval_ms;
        self.read_ms = self.read_ms.max(read_ms);
    }

    /// Returns true if the forwarded data is fresh enough that no own read is needed.
    pub fn is_current(&self, now_ms: u64, options: &Options) -> bool {
        let Some(recorded_ms) = self.recorded_ms else {
            return false;
        };
        // One message may be late by half of the interval.
        let due_ms = self.interval_ms + self.interval_ms / 2;
        let longer_ms = due_ms.saturating_sub(options.silence_max_ms);
        let read_age_max_ms = options.read_age_max_ms + longer_ms;
        let read_age_max_ms = read_age_max_ms.min(options.rare_read_age_max_ms);
        now_ms < recorded_ms + options.silence_max_ms + longer_ms
            && now_ms <= self.read_ms + read_age_max_ms
    }
}
