//! The limit itself: a number of requests a second.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Thousandths of a request in one request.
const PERMILLE: f64 = 1_000.0;

/// Least rate at which an endpoint gets requests, in requests in 1,000 s: only their answers tell when a lower limit ends.
const PROBES_PER_1000_S: u64 = 100;

/// `Rate` is a number of requests a second, with three decimals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate of `per_s` requests a second, rounded down to thousandths; `None` if that is negative or no number.
    pub fn try_from_per_s(per_s: f64) -> Option<Self> {
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        // A rate beyond the range of the integer becomes the largest one.
        is_rate.then_some(Self((per_s * PERMILLE) as u64))
    }

    /// Returns the number of requests in 1,000 s.
    pub fn per_1000_s(self) -> u64 {
        self.0
    }

    /// Returns the millionths of a request that are allowed in `ms`.
    pub(crate) fn micro_in(self, ms: u64) -> u64 {
        self.0.max(PROBES_PER_1000_S).saturating_mul(ms)
    }

    /// Returns the time in which `micro` millionths of a request are allowed, in ms, rounded up.
    pub(crate) fn ms_for(self, micro: u64) -> u64 {
        micro.div_ceil(self.0.max(PROBES_PER_1000_S))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0 as f64 / PERMILLE)
    }
}
