//! Counters and latency histograms of a group of requests.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::run::{Outcome, OutcomeKind};

/// Upper bound of the histogram, in us; longer latencies are clamped to it.
const LATENCY_MAX_US: u64 = 600_000_000;

/// `LatencySummary` holds percentiles of a latency distribution, in ms.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of recorded values.
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

/// `LatencyHistogram` records latencies with three significant digits.
#[derive(Debug)]
pub(crate) struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        // 1 us, the maximum and three digits are valid arguments, so this cannot fail.
        let histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("valid bounds");
        Self { histogram }
    }
}

impl LatencyHistogram {
    /// Records a latency, in us.
    pub(crate) fn record(&mut self, us: u64) {
        self.histogram.saturating_record(us.max(1));
    }

    /// Returns the percentiles.
    pub(crate) fn summary(&self) -> LatencySummary {
        let ms = |us: u64| us as f64 / 1000.0;
        LatencySummary {
            count: self.histogram.len(),
            p50_ms: ms(self.histogram.value_at_quantile(0.50)),
            p95_ms: ms(self.histogram.value_at_quantile(0.95)),
            p99_ms: ms(self.histogram.value_at_quantile(0.99)),
            max_ms: ms(self.histogram.max()),
        }
    }

    /// Returns points of the cumulative distribution: fraction of the values, and latency in ms.
    pub(crate) fn cdf(&self) -> Vec<(f64, f64)> {
        let points = (0..=200).map(|step| f64::from(step) / 200.0);
        points
            .map(|fraction| {
                (
                    fraction,
                    self.histogram.value_at_quantile(fraction) as f64 / 1000.0,
                )
            })
            .collect()
    }
}

/// `Counts` counts requests by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sent.
    pub sent: u64,
    /// Completely and correctly answered.
    pub answered: u64,
    /// Refused for exceeding the rate.
    pub limited: u64,
    /// Refused for another reason.
    pub refused: u64,
    /// Ended with an error.
    pub failed: u64,
    /// Ended with an answer that does not match the request.
    pub wrong: u64,
    /// Ended without an answer or with an incomplete one.
    pub broken: u64,
    /// Answered within the latency targets.
    pub attained: u64,
    /// Refused although within the workspace's rate.
    pub refused_within_rate: u64,
}

impl Counts {
    /// Counts an outcome.
    pub(crate) fn record(&mut self, outcome: &Outcome, attained: bool, within_rate: bool) {
        self.sent += 1;
        self.attained += u64::from(attained);
        let refused = matches!(outcome.kind, OutcomeKind::Limited | OutcomeKind::Refused);
        self.refused_within_rate += u64::from(refused && within_rate);
        let counter = match outcome.kind {
            OutcomeKind::Answered => &mut self.answered,
            OutcomeKind::Limited => &mut self.limited,
            OutcomeKind::Refused => &mut self.refused,
            OutcomeKind::Failed => &mut self.failed,
            OutcomeKind::Wrong => &mut self.wrong,
            OutcomeKind::Broken => &mut self.broken,
        };
        *counter += 1;
    }
}
