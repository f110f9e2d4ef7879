//! When callers that were refused beyond their workspace's rate are to come back.
//!
//! The load that this answers: one workspace asks for several times its rate for some seconds. Callers that all come back when the
//! next units are there find them taken; each is told to come back when its units have been earned after those of the callers
//! before it.

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Longest time after which a caller is told to come back, in ms: who is told to wait longer goes elsewhere.
const AFTER_MAX_MS: u64 = 3_000;

/// `Backlog` is the units of the callers that were refused of late and may come back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Backlog {
    /// When the rate has earned the units of all of them, in ms.
    earned_ms: u64,
}

impl Backlog {
    /// Adds a refused request; returns when it is to come back, in ms. The units are earned at `rate` a second, of which one of
    /// `members` VMs has an even part.
    pub fn add(&mut self, now_ms: u64, units: u64, rate: u64, members: u64) -> u64 {
        let earning = u128::from(units) * u128::from(MS_PER_S) * u128::from(members.max(1));
        let earning_ms = earning / u128::from(rate.max(1));
        let earning_ms = u64::try_from(earning_ms).unwrap_or(u64::MAX);
        let last_ms = now_ms + AFTER_MAX_MS;
        let from_ms = self.earned_ms.clamp(now_ms, last_ms);
        self.earned_ms = from_ms.saturating_add(earning_ms).min(last_ms);
        self.earned_ms - now_ms
    }
}
