//! Runs the comparison and formats its results as a table.

use comfy_table::Table;
use serde::Serialize;
use strum::VariantArray;

use crate::compare::arrivals::{Arrival, Balancer, GATES, arrivals};
use crate::compare::escrow::EscrowShares;
use crate::compare::owner::SingleOwner;
use crate::compare::scheme::SchemeKind;
use crate::compare::simulate::{RunMetrics, simulate};

/// `RunStats` holds the median, the least and the greatest value of a metric over several runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct RunStats {
    /// Least value.
    pub least: u64,
    /// Median.
    pub median: u64,
    /// Greatest value.
    pub greatest: u64,
}

impl RunStats {
    fn new(values: impl Iterator<Item = u64>) -> Self {
        let mut values: Vec<u64> = values.collect();
        values.sort_unstable();
        let value = |index: usize| values.get(index).copied().unwrap_or_default();
        Self {
            least: value(0),
            median: value(values.len() / 2),
            greatest: value(values.len().saturating_sub(1)),
        }
    }

    /// Formats the values divided by `divisor`, for example thousandths as units.
    fn format(&self, divisor: f64, digits: usize) -> String {
        let number = |value: u64| format!("{:.digits$}", value as f64 / divisor);
        let (least, median) = (number(self.least), number(self.median));
        format!("{median} ({least} to {})", number(self.greatest))
    }
}

/// `Row` holds the results of one scheme with one balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Balancer in front of the gates.
    pub balancer: Balancer,
    /// Scheme that admits requests.
    pub scheme: SchemeKind,
    /// Requests per run.
    pub requests: RunStats,
    /// Requests refused to workspaces that stay within their rate although one bucket for the fleet would have
    /// admitted them, in millionths.
    pub refused_within_ppm: RunStats,
    /// The same for the workspace with the highest value, in millionths of its requests.
    pub worst_refused_ppm: RunStats,
    /// Tokens admitted for the flooding workspace, in thousandths of what one bucket for the fleet admits.
    pub flooder_permille: RunStats,
    /// Maximum, over all windows, of the tokens used beyond burst + rate x window.
    pub worst_excess: RunStats,
    /// Messages per thousand requests, without the peer exchange.
    pub messages_permille: RunStats,
}

/// Runs a scheme; in the result, `flooder_tokens` is in thousandths of what one bucket for the fleet admits.
fn run_scheme(seed: u64, balancer: Balancer, scheme: SchemeKind) -> RunMetrics {
    let arrivals = arrivals(seed, balancer);
    let mut metrics = match scheme {
        SchemeKind::StaticSplit => {
            simulate(&arrivals, balancer, EscrowShares::new(GATES, false, seed))
        }
        SchemeKind::SingleOwner => simulate(&arrivals, balancer, SingleOwner::new(seed)),
        SchemeKind::EscrowShares => {
            simulate(&arrivals, balancer, EscrowShares::new(GATES, true, seed))
        }
    };
    metrics.flooder_tokens =
        metrics.flooder_tokens * 1_000 / single_bucket_tokens(&arrivals, seed).max(1);
    metrics
}

/// Returns the tokens admitted for the flooding workspace if one gate serves all requests.
fn single_bucket_tokens(arrivals: &[Arrival], seed: u64) -> u64 {
    let mut arrivals = arrivals.to_vec();
    for arrival in &mut arrivals {
        arrival.request.gate = 0;
    }
    simulate(&arrivals, Balancer::Even, EscrowShares::new(1, false, seed)).flooder_tokens
}

/// Compares all schemes with all balancers, over the seeds `seed` to `seed + runs - 1`.
pub fn compare_all(seed: u64, runs: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for balancer in Balancer::VARIANTS {
        for scheme in SchemeKind::VARIANTS {
            let metrics = (seed..seed + runs).map(|seed| run_scheme(seed, *balancer, *scheme));
            let metrics: Vec<RunMetrics> = metrics.collect();
            let stats = |metric: fn(&RunMetrics) -> u64| RunStats::new(metrics.iter().map(metric));
            rows.push(Row {
                balancer: *balancer,
                scheme: *scheme,
                requests: stats(|m| m.requests),
                refused_within_ppm: stats(|m| m.refused_within_ppm),
                worst_refused_ppm: stats(|m| m.worst_refused_ppm),
                flooder_permille: stats(|m| m.flooder_tokens),
                worst_excess: stats(|m| m.worst_excess),
                messages_permille: stats(|m| m.messages_permille),
            });
        }
    }
    rows
}

/// Formats rows as a Markdown table.
pub(crate) fn render_table(rows: &[Row]) -> String {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header([
        "balancer",
        "scheme",
        "refused within rate, %",
        "worst workspace, %",
        "flooder against one bucket, %",
        "worst window over, tokens",
        "messages per request",
    ]);
    for row in rows {
        table.add_row([
            row.balancer.to_string(),
            row.scheme.to_string(),
            row.refused_within_ppm.format(10_000.0, 2),
            row.worst_refused_ppm.format(10_000.0, 2),
            row.flooder_permille.format(10.0, 1),
            row.worst_excess.format(1.0, 0),
            row.messages_permille.format(1_000.0, 2),
        ]);
    }
    table.to_string()
}
