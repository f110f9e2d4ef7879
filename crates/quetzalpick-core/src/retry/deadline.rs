//! The time by which a request must be answered.

/// `Deadline` is a point on the monotonic clock, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(pub u64);

impl Deadline {
    /// Returns the deadline `after_ms` after `now_ms`.
    pub fn after(now_ms: u64, after_ms: u64) -> Self {
        Self(now_ms.saturating_add(after_ms))
    }

    /// Returns the time left, in ms.
    pub fn left_ms(self, now_ms: u64) -> u64 {
        self.0.saturating_sub(now_ms)
    }

    /// Returns true if the deadline has passed.
    pub fn has_passed(self, now_ms: u64) -> bool {
        now_ms >= self.0
    }
}
