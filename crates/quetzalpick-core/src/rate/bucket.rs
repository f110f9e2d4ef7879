//! A bucket of a workspace's rate and burst.

use crate::quota::{self, MICRO};
use crate::rate::Parts;
use crate::record::PARTS_TOTAL;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// `Bucket` fills at its part of the rate up to its part of the burst, and begins empty.
///
/// A request that is larger than what the bucket can hold is let through when the bucket is full, and what is missing is owed,
/// up to a bound that the VMs together may overdraw.
#[derive(Debug, Clone)]
pub struct Bucket {
    bucket: quota::Bucket,
    owed: u64,
}

impl Bucket {
    /// Makes an empty bucket.
    pub fn new(now_ms: u64) -> Self {
        let mut bucket = quota::Bucket::default();
        bucket.fill(now_ms);
        Self { bucket, owed: 0 }
    }

    /// Sets rate and burst of the whole workspace, and the part of them that is this bucket.
    pub fn set(&mut self, now_ms: u64, rate: u64, burst: u64, parts: Parts) {
        self.bucket.set_spec(now_ms, rate, burst);
        self.bucket.set_parts(now_ms, parts);
    }

    /// Takes units for a request.
    ///
    /// # Errors
    ///
    /// The time until they will be there, in ms, if they are not.
    pub fn charge(&mut self, now_ms: u64, units: u64, overdraft: u64) -> Result<(), u64> {
        self.bucket.fill(now_ms);
        self.repay(now_ms);
        if self.owed == 0 {
            if self.bucket.charge(now_ms, units).is_some() {
                return Ok(());
            }
            let level = self.bucket.level_micro() / MICRO;
            let missing = units - level.min(units);
            let is_full = level + 1 >= self.capacity();
            if is_full && missing <= overdraft && self.bucket.charge(now_ms, level).is_some() {
                self.owed = missing;
                return Ok(());
            }
        }
        Err(self.wait_ms(units))
    }

    /// Returns the units that are missing for a charge.
    pub fn missing(&mut self, now_ms: u64, units: u64) -> u64 {
        self.bucket.fill(now_ms);
        self.repay(now_ms);
        let level = self.bucket.level_micro() / MICRO;
        units.saturating_add(self.owed).saturating_sub(level)
    }

    /// Takes units for another VM: as many of those asked for as are there.
    pub fn lend(&mut self, now_ms: u64, units: u64) -> u64 {
        self.bucket.fill(now_ms);
        self.repay(now_ms);
        let lent = units.min(self.bucket.level_micro() / MICRO);
        let taken = self.owed == 0 && self.bucket.charge(now_ms, lent).is_some();
        if taken { lent } else { 0 }
    }

    /// Takes units that were promised; what is not there is owed.
    pub fn spend(&mut self, now_ms: u64, units: u64) {
        self.bucket.fill(now_ms);
        self.owed = self.owed.saturating_add(units);
        self.repay(now_ms);
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, now_ms: u64, units: u64) {
        let repaid = units.min(self.owed);
        self.owed -= repaid;
        self.bucket.put(now_ms, units - repaid);
    }

    /// Returns the units that the bucket can hold.
    fn capacity(&self) -> u64 {
        let whole = u128::from(self.bucket.burst()) * u128::from(self.bucket.parts());
        u64::try_from(whole / u128::from(PARTS_TOTAL)).unwrap_or(u64::MAX)
    }

    /// Pays what is owed as far as the level goes.
    fn repay(&mut self, now_ms: u64) {
        let paid = self.owed.min(self.bucket.level_micro() / MICRO);
        if paid > 0 && self.bucket.charge(now_ms, paid).is_some() {
            self.owed -= paid;
        }
    }

    /// Returns the time until a charge may succeed, in ms.
    fn wait_ms(&self, units: u64) -> u64 {
        let wanted = units.min(self.capacity()).saturating_add(self.owed);
        let missing = u128::from(self.bucket.missing(wanted));
        let per_s = u128::from(self.bucket.rate()) * u128::from(self.bucket.parts());
        if per_s == 0 {
            return MS_PER_S;
        }
        let ms = missing * u128::from(MS_PER_S) * u128::from(PARTS_TOTAL) / per_s;
        u64::try_from(ms).unwrap_or(u64::MAX).max(1)
    }
}
