//! The pause before a retry.

/// `Backoff` doubles the maximum pause with each retry and draws the pause at random up to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backoff {
    /// Maximum pause before the first retry, in ms.
    pub base_ms: u64,
    /// Maximum pause before any retry, in ms.
    pub max_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base_ms: 10,
            max_ms: 1_000,
        }
    }
}

impl Backoff {
    /// Returns the pause before retry `retry`, counted from 0, in ms.
    pub fn pause_ms(&self, retry: u32, random: u64) -> u64 {
        let factor = 1_u64 << retry.min(32);
        let longest = self.base_ms.saturating_mul(factor).min(self.max_ms);
        random % (longest + 1)
    }
}
