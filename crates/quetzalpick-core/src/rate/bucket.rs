//! The token bucket for one share of a workspace's rate and burst.

use crate::quota::{self, MICRO};
use crate::rate::Parts;
use crate::record::PARTS_TOTAL;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// `Bucket` fills at its share of the rate up to its share of the burst; it starts empty.
///
/// A request larger than the bucket's capacity is admitted when the bucket is full. The missing units become a debt, limited by
/// the overdraft that all VMs together may use.
#[derive(Debug, Clone)]
pub struct Bucket {
    bucket: quota::Bucket,
    /// Units admitted beyond the level and not yet repaid.
    debt: u64,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(now_ms: u64) -> Self {
        let mut bucket = quota::Bucket::default();
        bucket.fill(now_ms);
        Self { bucket, debt: 0 }
    }

    /// Sets the rate and burst of the workspace and this bucket's share of them.
    pub fn set(&mut self, now_ms: u64, rate: u64, burst: u64, parts: Parts) {
        self.bucket.set_spec(now_ms, rate, burst);
        self.bucket.set_parts(now_ms, parts);
    }

    /// Charges units for a request.
    ///
    /// # Errors
    ///
    /// The time until enough units are available, in ms, if there are too few.
    pub fn charge(&mut self, now_ms: u64, units: u64, overdraft: u64) -> Result<(), u64> {
        self.bucket.fill(now_ms);
        self.repay(now_ms);
        if self.debt == 0 {
            if self.bucket.charge(now_ms, units).is_some() {
                return Ok(());
            }
            let level = self.bucket.level_micro() / MICRO;
            let missing = units - level.min(units);
            let is_full = level + 1 >= self.capacity();
            if is_full && missing <= overdraft && self.bucket.charge(now_ms, level).is_some() {
                self.debt = missing;
                return Ok(());
            }
        }
        Err(self.wait_ms(units))
    }

    /// Returns the units missing for a charge, including the debt.
    pub fn missing(&mut self, now_ms: u64, units: u64) -> u64 {
        self.bucket.fill(now_ms);
        self.repay(now_ms);
        let level = self.bucket.level_micro() / MICRO;
        units.saturating_add(self.debt).saturating_sub(level)
    }

    /// Charges units for another VM, as many of the requested ones as are available, and returns their number.
    pub fn lend(&mut self, now_ms: u64, units: u64) -> u64 {
        self.bucket.fill(now_ms);
        self.repay(now_ms);
        let granted = units.min(self.bucket.level_micro() / MICRO);
        let is_charged = self.debt == 0 && self.bucket.charge(now_ms, granted).is_some();
        if is_charged { granted } else { 0 }
    }

    /// Charges units already granted; those not available become debt.
    pub fn spend(&mut self, now_ms: u64, units: u64) {
        self.bucket.fill(now_ms);
        self.debt = self.debt.saturating_add(units);
        self.repay(now_ms);
    }

    /// Returns the units of a request that did not run to the bucket, and first reduces the debt.
    pub fn refund(&mut self, now_ms: u64, units: u64) {
        let repaid = units.min(self.debt);
        self.debt -= repaid;
        self.bucket.put(now_ms, units - repaid);
    }

    /// Returns the bucket's capacity in units.
    fn capacity(&self) -> u64 {
        let total = u128::from(self.bucket.burst()) * u128::from(self.bucket.parts());
        u64::try_from(total / u128::from(PARTS_TOTAL)).unwrap_or(u64::MAX)
    }

    /// Reduces the debt by the available units.
    fn repay(&mut self, now_ms: u64) {
        let paid = self.debt.min(self.bucket.level_micro() / MICRO);
        if paid > 0 && self.bucket.charge(now_ms, paid).is_some() {
            self.debt -= paid;
        }
    }

    /// Returns the time until a charge may succeed, in ms.
    fn wait_ms(&self, units: u64) -> u64 {
        let wanted = units.min(self.capacity()).saturating_add(self.debt);
        let missing = u128::from(self.bucket.missing(wanted));
        let per_s = u128::from(self.bucket.rate()) * u128::from(self.bucket.parts());
        if per_s == 0 {
            return MS_PER_S;
        }
        let ms = missing * u128::from(MS_PER_S) * u128::from(PARTS_TOTAL) / per_s;
        u64::try_from(ms).unwrap_or(u64::MAX).max(1)
    }
}
