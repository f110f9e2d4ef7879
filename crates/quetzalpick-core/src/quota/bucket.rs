//! The token bucket for a gate's parts of one workspace's rate and burst.

use crate::quota::MICRO;
use crate::quota::headroom::HeadroomHistory;
use crate::record::PARTS_TOTAL;

/// Milliseconds in one second.
const MS_PER_S: u128 = 1_000;

/// Micro-tokens that one token per second adds in one millisecond.
const MICRO_PER_MS: u128 = MICRO as u128 / MS_PER_S;

/// Units in one micro-token. One part of a rate of one token per second adds a whole number of units per ms, so that
/// the arithmetic is exact.
const UNITS_PER_MICRO: u128 = PARTS_TOTAL as u128;

/// `Bucket` is a token bucket that fills at rate x parts / `PARTS_TOTAL` up to burst x parts / `PARTS_TOTAL`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Bucket {
    rate: u64,
    burst: u64,
    parts: u64,
    /// Available tokens, in units of 1 / `UNITS_PER_MICRO` micro-tokens.
    level: u128,
    filled_ms: u64,
    headroom: HeadroomHistory,
}

/// `Portion` holds the parts and the level that a transfer moves from one bucket to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Portion {
    pub(crate) parts: u64,
    pub(crate) level_micro: u64,
}

/// Converts tokens to units.
fn to_units(tokens: u64) -> u128 {
    u128::from(tokens) * u128::from(MICRO) * UNITS_PER_MICRO
}

/// Converts a value to `u64`, saturating; all values passed are bounded by a `u64`.
fn saturating_u64(value: u128) -> u64 {
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
        saturating_u64(self.level / UNITS_PER_MICRO)
    }

    /// Adds the tokens accrued since the last fill.
    pub(crate) fn fill(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        let per_ms = u128::from(self.rate) * MICRO_PER_MS * u128::from(self.parts);
        let added = per_ms.saturating_mul(u128::from(elapsed));
        self.level = self.level.saturating_add(added);
        self.cap_level();
    }

    /// Sets rate and burst, in tokens, and keeps the parts.
    pub(crate) fn set_spec(&mut self, now_ms: u64, rate: u64, burst: u64) {
        self.fill(now_ms);
        self.rate = rate;
        self.burst = burst;
        self.cap_level();
    }

    /// Sets the parts; tokens in excess of their capacity are dropped.
    pub(crate) fn set_parts(&mut self, now_ms: u64, parts: u64) {
        self.fill(now_ms);
        self.parts = parts;
        self.cap_level();
    }

    /// Adds tokens up to the capacity.
    pub(crate) fn put(&mut self, now_ms: u64, tokens: u64) {
        self.fill(now_ms);
        self.level = self.level.saturating_add(to_units(tokens));
        self.cap_level();
    }

    /// Adds parts that the fold granted; `full_parts` of them come with as many tokens as they can hold.
    pub(crate) fn grant(&mut self, now_ms: u64, parts: u64, full_parts: u64) {
        self.fill(now_ms);
        self.parts += parts;
        self.level += self.capacity_of(full_parts);
        self.cap_level();
    }

    /// Subtracts tokens if the level suffices, and returns the sequence number for a refund.
    pub(crate) fn charge(&mut self, now_ms: u64, tokens: u64) -> Option<u64> {
        self.fill(now_ms);
        let level = self.level.checked_sub(to_units(tokens))?;
        self.level = level;
        Some(self.headroom.next_sequence())
    }

    /// Returns the tokens missing for a charge, rounded up.
    pub(crate) fn missing(&self, tokens: u64) -> u64 {
        let missing = to_units(tokens).saturating_sub(self.level);
        saturating_u64(missing.div_ceil(u128::from(MICRO) * UNITS_PER_MICRO))
    }

    /// Refunds tokens of a charge, limited to the least headroom since the charge.
    pub(crate) fn refund(&mut self, now_ms: u64, sequence: u64, tokens: u64) {
        self.fill(now_ms);
        let refund = to_units(tokens).min(self.headroom.min_since(sequence));
        self.level += refund;
        self.headroom.lower_since(sequence, refund);
        self.cap_level();
    }

    /// Removes parts with a level: the level requested, or more if the remaining parts cannot hold the rest.
    ///
    /// The level is at most the capacity of the parts removed.
    pub(crate) fn remove(&mut self, now_ms: u64, parts: u64, level_micro: u64) -> Portion {
        self.fill(now_ms);
        let parts = parts.min(self.parts);
        let wanted = u128::from(level_micro) * UNITS_PER_MICRO;
        // Tokens that the remaining parts cannot hold are moved along rather than dropped.
        let excess = self
            .level
            .saturating_sub(self.capacity_of(self.parts - parts));
        let moved = wanted
            .max(excess)
            .min(self.level)
            .min(self.capacity_of(parts));
        let level_micro = saturating_u64(moved / UNITS_PER_MICRO);
        self.parts -= parts;
        self.level -= u128::from(level_micro) * UNITS_PER_MICRO;
        self.cap_level();
        Portion { parts, level_micro }
    }

    /// Adds the parts and level of a transfer.
    ///
    /// The donor limited the level by the burst that it had applied. This gate limits it again by its own: together
    /// with what other gates spend, it could exceed a burst that was lowered while the transfer was in flight.
    pub(crate) fn add(&mut self, now_ms: u64, portion: Portion) {
        self.fill(now_ms);
        self.parts += portion.parts;
        let level = u128::from(portion.level_micro) * UNITS_PER_MICRO;
        self.level += level.min(self.capacity_of(portion.parts));
        self.cap_level();
    }

    /// Returns the minimum number of parts that can hold a level, in micro-tokens.
    pub(crate) fn parts_for(&self, level_micro: u64) -> u64 {
        let burst_micro = u128::from(self.burst.max(1)) * u128::from(MICRO);
        saturating_u64((u128::from(level_micro) * UNITS_PER_MICRO).div_ceil(burst_micro))
    }

    /// Returns the capacity of a number of parts, in units.
    fn capacity_of(&self, parts: u64) -> u128 {
        u128::from(self.burst) * u128::from(MICRO) * u128::from(parts)
    }

    /// Limits the level to the capacity and records the headroom.
    fn cap_level(&mut self) {
        let capacity = self.capacity_of(self.parts);
        self.level = self.level.min(capacity);
        self.headroom.record(capacity - self.level);
    }
}
