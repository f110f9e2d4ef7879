//! The table of a comparison.

use comfy_table::Table;
use serde::Serialize;
use strum::VariantArray;

use crate::compare::arrivals::{Arrival, Balancer, GATES, arrivals};
use crate::compare::escrow::Escrow;
use crate::compare::owner::Owner;
use crate::compare::scheme::Kind;
use crate::compare::simulate::{Figures, simulate};

/// `Spread` is the median of several runs with the least and the greatest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// Least of the runs.
    pub least: u64,
    /// Median of the runs.
    pub median: u64,
    /// Greatest of the runs.
    pub greatest: u64,
}

impl Spread {
    fn new(values: impl Iterator<Item = u64>) -> Self {
        let mut values: Vec<u64> = values.collect();
        values.sort_unstable();
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        Self {
            least: at(0),
            median: at(values.len() / 2),
            greatest: at(values.len().saturating_sub(1)),
        }
    }

    /// Writes the spread with a divisor, such as thousandths as whole numbers.
    fn text(&self, divisor: f64, digits: usize) -> String {
        let number = |value: u64| format!("{:.digits$}", value as f64 / divisor);
        let (least, median) = (number(self.least), number(self.median));
        format!("{median} ({least} to {})", number(self.greatest))
    }
}

/// `Row` is the result of one scheme under one balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The balancer.
    pub balancer: Balancer,
    /// The scheme.
    pub scheme: Kind,
    /// Requests of a run.
    pub requests: Spread,
    /// Requests refused to workspaces that keep to their rate although one bucket for the fleet would have admitted
    /// them, in millionths.
    pub refused_within_ppm: Spread,
    /// The same for the worst-served of these workspaces, in millionths of its requests.
    pub worst_refused_ppm: Spread,
    /// Tokens that the flooding workspace got, in thousandths of what one bucket for the fleet gives it.
    pub flooder_permille: Spread,
    /// Tokens beyond burst + rate x window in the worst window.
    pub worst_excess: Spread,
    /// Messages for a thousand requests, without the peer exchange.
    pub messages_permille: Spread,
}

fn run(seed: u64, balancer: Balancer, scheme: Kind) -> Figures {
    let arrivals = arrivals(seed, balancer);
    let mut figures = match scheme {
        Kind::StaticSplit => simulate(&arrivals, balancer, Escrow::new(GATES, false, seed)),
        Kind::SingleOwner => simulate(&arrivals, balancer, Owner::new(seed)),
        Kind::EscrowShares => simulate(&arrivals, balancer, Escrow::new(GATES, true, seed)),
    };
    figures.flooder_tokens = figures.flooder_tokens * 1_000 / one_bucket(&arrivals, seed).max(1);
    figures
}

/// Returns the tokens that the flooding workspace gets where one gate serves all requests.
fn one_bucket(arrivals: &[Arrival], seed: u64) -> u64 {
    let mut arrivals = arrivals.to_vec();
    for arrival in &mut arrivals {
        arrival.request.gate = 0;
    }
    simulate(&arrivals, Balancer::Even, Escrow::new(1, false, seed)).flooder_tokens
}

/// Compares all schemes under all balancers with the seeds `seed` to `seed + runs - 1`.
pub fn compare_all(seed: u64, runs: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for balancer in Balancer::VARIANTS {
        for scheme in Kind::VARIANTS {
            let figures = (seed..seed + runs).map(|seed| run(seed, *balancer, *scheme));
            let figures: Vec<Figures> = figures.collect();
            let spread = |of: fn(&Figures) -> u64| Spread::new(figures.iter().map(of));
            rows.push(Row {
                balancer: *balancer,
                scheme: *scheme,
                requests: spread(|f| f.requests),
                refused_within_ppm: spread(|f| f.refused_within_ppm),
                worst_refused_ppm: spread(|f| f.worst_refused_ppm),
                flooder_permille: spread(|f| f.flooder_tokens),
                worst_excess: spread(|f| f.worst_excess),
                messages_permille: spread(|f| f.messages_permille),
            });
        }
    }
    rows
}

/// Writes rows as a table.
pub(crate) fn table(rows: &[Row]) -> String {
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
            row.refused_within_ppm.text(10_000.0, 2),
            row.worst_refused_ppm.text(10_000.0, 2),
            row.flooder_permille.text(10.0, 1),
            row.worst_excess.text(1.0, 0),
            row.messages_permille.text(1_000.0, 2),
        ]);
    }
    table.to_string()
}
