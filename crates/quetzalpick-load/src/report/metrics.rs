//! Counts and latencies of a group of requests.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::run::{End, Outcome};

/// Longest latency that is told apart, in us.
const LATENCY_MAX_US: u64 = 600_000_000;

/// `Latency` is the distribution of a time, in ms.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Values seen.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

/// `Times` collects values of a time.
#[derive(Debug)]
pub(crate) struct Times {
    histogram: Histogram<u64>,
}

impl Default for Times {
    fn default() -> Self {
        // Three digits between 1 us and the maximum are always valid bounds.
        let histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("valid bounds");
        Self { histogram }
    }
}

impl Times {
    /// Takes a value.
    pub(crate) fn add(&mut self, us: u64) {
        self.histogram.saturating_record(us.max(1));
    }

    /// Returns the distribution.
    pub(crate) fn latency(&self) -> Latency {
        let ms = |us: u64| us as f64 / 1000.0;
        Latency {
            count: self.histogram.len(),
            p50_ms: ms(self.histogram.value_at_quantile(0.50)),
            p95_ms: ms(self.histogram.value_at_quantile(0.95)),
            p99_ms: ms(self.histogram.value_at_quantile(0.99)),
            max_ms: ms(self.histogram.max()),
        }
    }

    /// Returns points of the cumulative distribution: part of the values, and time in ms.
    pub(crate) fn curve(&self) -> Vec<(f64, f64)> {
        let points = (0..=200).map(|step| f64::from(step) / 200.0);
        points
            .map(|part| (part, self.histogram.value_at_quantile(part) as f64 / 1000.0))
            .collect()
    }
}

/// `Counts` is how requests ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sent.
    pub sent: u64,
    /// Ended with their whole answer.
    pub answered: u64,
    /// Refused for exceeding the rate.
    pub limited: u64,
    /// Refused for another reason.
    pub refused: u64,
    /// Ended with an error.
    pub failed: u64,
    /// Ended with another answer than their own.
    pub wrong: u64,
    /// Ended without an answer or with a broken one.
    pub broken: u64,
    /// Answered within the targets.
    pub attained: u64,
    /// Refused although within the workspace's rate.
    pub refused_within_rate: u64,
}

impl Counts {
    /// Counts an outcome.
    pub(crate) fn add(&mut self, outcome: &Outcome, attained: bool, within_rate: bool) {
        self.sent += 1;
        self.attained += u64::from(attained);
        let refused = matches!(outcome.end, End::Limited | End::Refused);
        self.refused_within_rate += u64::from(refused && within_rate);
        let counter = match outcome.end {
            End::Answered => &mut self.answered,
            End::Limited => &mut self.limited,
            End::Refused => &mut self.refused,
            End::Failed => &mut self.failed,
            End::Wrong => &mut self.wrong,
            End::Broken => &mut self.broken,
        };
        *counter += 1;
    }
}
