//! The token bucket that a gate's parts of one workspace amount to.

use crate::quota::MICRO;
use crate::quota::headroom::Headroom;
use crate::record::PARTS_TOTAL;

/// Milliseconds in one second.
const MS_PER_S: u128 = 1_000;

/// Micro-tokens that one token per second adds in one millisecond.
const MICRO_PER_MS: u128 = MICRO as u128 / MS_PER_S;

/// Fine units in one micro-token. One part of a rate of one token per second fills a whole number of them per ms, so
/// that the arithmetic is exact.
const FINE: u128 = PARTS_TOTAL as u128;

/// `Bucket` fills at rate x parts up to burst x parts, both in parts of `PARTS_TOTAL`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Bucket {
    rate: u64,
    burst: u64,
    parts: u64,
    /// In fine units.
    level: u128,
    filled_ms: u64,
    headroom: Headroom,
}

/// `Load` is what a transfer carries from bucket to bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) parts: u64,
    pub(crate) level_micro: u64,
}

/// Returns tokens in fine units.
fn fine(tokens: u64) -> u128 {
    u128::from(tokens) * u128::from(MICRO) * FINE
}

/// Narrows a value that is bounded by one that was a `u64`.
fn narrow(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

impl Bucket {
    pub(crate) fn parts(&self) -> u64 {
        self.parts
    }

    pub(crate) fn rate(&self) -> u64 {
        self.rate
    }

    pub(crate) fn burst(&self) -> u64 {
        self.burst
    }

    /// Returns the level in whole micro-tokens.
    pub(crate) fn level_micro(&self) -> u64 {
        narrow(self.level / FINE)
    }

    /// Fills up to now.
    pub(crate) fn fill(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        let per_ms = u128::from(self.rate) * MICRO_PER_MS * u128::from(self.parts);
        let added = per_ms.saturating_mul(u128::from(elapsed));
        self.level = self.level.saturating_add(added);
        self.clip();
    }

    /// Sets rate and burst, in tokens; parts stay.
    pub(crate) fn set_spec(&mut self, now_ms: u64, rate: u64, burst: u64) {
        self.fill(now_ms);
        self.rate = rate;
        self.burst = burst;
        self.clip();
    }

    /// Sets the parts; a level that they cannot hold is lost.
    pub(crate) fn set_parts(&mut self, now_ms: u64, parts: u64) {
        self.fill(now_ms);
        self.parts = parts;
        self.clip();
    }

    /// Puts tokens in as far as there is room.
    pub(crate) fn put(&mut self, now_ms: u64, tokens: u64) {
        self.fill(now_ms);
        self.level = self.level.saturating_add(fine(tokens));
        self.clip();
    }

    /// Adds parts that the fold granted, `full` of which come with a full bucket.
    pub(crate) fn grant(&mut self, now_ms: u64, parts: u64, full: u64) {
        self.fill(now_ms);
        self.parts += parts;
        self.level += self.cap_of(full);
        self.clip();
    }

    /// Takes tokens if they are there, and returns the sequence for a refund.
    pub(crate) fn charge(&mut self, now_ms: u64, tokens: u64) -> Option<u64> {
        self.fill(now_ms);
        let level = self.level.checked_sub(fine(tokens))?;
        self.level = level;
        Some(self.headroom.next())
    }

    /// Returns the tokens that are missing for a charge, rounded up.
    pub(crate) fn missing(&self, tokens: u64) -> u64 {
        let missing = fine(tokens).saturating_sub(self.level);
        narrow(missing.div_ceil(u128::from(MICRO) * FINE))
    }

    /// Gives back tokens of a charge, as far as the bucket had room for them ever since.
    pub(crate) fn refund(&mut self, now_ms: u64, sequence: u64, tokens: u64) {
        self.fill(now_ms);
        let refund = fine(tokens).min(self.headroom.least_since(sequence));
        self.level += refund;
        self.headroom.lower_since(sequence, refund);
        self.clip();
    }

    /// Takes a load out; it holds at most the level asked for or what the remaining parts cannot hold.
    pub(crate) fn remove(&mut self, now_ms: u64, parts: u64, level_micro: u64) -> Load {
        self.fill(now_ms);
        let parts = parts.min(self.parts);
        let wanted = u128::from(level_micro) * FINE;
        // What does not fit the parts that stay goes along rather than being lost.
        let excess = self.level.saturating_sub(self.cap_of(self.parts - parts));
        let moved = wanted.max(excess).min(self.level).min(self.cap_of(parts));
        let level_micro = narrow(moved / FINE);
        self.parts -= parts;
        self.level -= u128::from(level_micro) * FINE;
        self.clip();
        Load { parts, level_micro }
    }

    /// Puts a load in.
    ///
    /// The level was bounded by the burst that the donor knew. It is bounded again by this gate's: together with what
    /// others spend meanwhile it could exceed a burst that was lowered while the transfer was under way.
    pub(crate) fn add(&mut self, now_ms: u64, load: Load) {
        self.fill(now_ms);
        self.parts += load.parts;
        let level = u128::from(load.level_micro) * FINE;
        self.level += level.min(self.cap_of(load.parts));
        self.clip();
    }

    /// Returns the fewest parts that can hold a level, in micro-tokens.
    pub(crate) fn parts_for(&self, level_micro: u64) -> u64 {
        let whole = u128::from(self.burst.max(1)) * u128::from(MICRO);
        narrow((u128::from(level_micro) * FINE).div_ceil(whole))
    }

    /// Returns what a number of parts can hold, in fine units.
    fn cap_of(&self, parts: u64) -> u128 {
        u128::from(self.burst) * u128::from(MICRO) * u128::from(parts)
    }

    /// Cuts the level to the cap and notes the room that is left.
    fn clip(&mut self) {
        let cap = self.cap_of(self.parts);
        self.level = self.level.min(cap);
        self.headroom.note(cap - self.level);
    }
}
