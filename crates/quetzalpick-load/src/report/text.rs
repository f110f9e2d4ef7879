//! The report as tables.

use comfy_table::Table;
use comfy_table::presets::NOTHING;

use crate::report::metrics::Latency;
use crate::report::summary::{Report, Row};

/// Writes a report as text.
pub fn render(report: &Report) -> String {
    let mut parts = vec![header(report), workspaces(report)];
    if !report.costs.is_empty() {
        parts.push(costs(report));
    }
    if !report.failures.is_empty() {
        let lines = report
            .failures
            .iter()
            .take(8)
            .map(|f| format!("  {} x {}: {}", f.count, f.end, f.detail));
        parts.push(lines.collect::<Vec<_>>().join("\n"));
    }
    parts.join("\n\n")
}

/// Writes the figures of the whole run.
fn header(report: &Report) -> String {
    let total = &report.total;
    let orders = &report.orders;
    let lines = [
        format!(
            "{}: seed {}, {} s",
            report.name, report.seed, report.seconds
        ),
        format!(
            "  {} sent, {} answered, {} limited, {} refused, {} failed, {} wrong, {} broken",
            total.sent,
            total.answered,
            total.limited,
            total.refused,
            total.failed,
            total.wrong,
            total.broken
        ),
        format!(
            "  attainment {:.3}, per accelerator {:.2}/s, worst workspace {:.3}, refused within rate {}",
            report.attainment,
            report.attained_per_accelerator_s,
            report.worst_workspace,
            total.refused_within_rate
        ),
        format!("  first token    {}", latency(&report.first_token)),
        format!("  between tokens {}", latency(&report.between_tokens)),
        format!(
            "  bookings {} sent, {} doubled, {} lost, {} falsely 'not run'; moves {}, overcommits {}, keys seen {}",
            orders.sent,
            orders.doubled,
            orders.lost,
            orders.false_not_run,
            report.records.moves,
            report.records.overcommits,
            report.records.keys_seen
        ),
    ];
    lines.join("\n")
}

/// Writes a distribution.
fn latency(latency: &Latency) -> String {
    let Latency {
        p50_ms,
        p95_ms,
        p99_ms,
        max_ms,
        ..
    } = latency;
    format!("p50 {p50_ms:.1} ms, p95 {p95_ms:.1} ms, p99 {p99_ms:.1} ms, max {max_ms:.1} ms")
}

/// Writes the table of workspaces.
fn workspaces(report: &Report) -> String {
    let header = [
        "workspace",
        "sent",
        "answered",
        "attained",
        "limited",
        "refused",
        "within rate",
        "first p95 ms",
    ];
    let cells = |row: &Row| {
        let counts = &row.counts;
        let numbers = [
            counts.sent,
            counts.answered,
            counts.attained,
            counts.limited,
            counts.refused,
        ];
        let mut cells = vec![row.workspace.clone()];
        cells.extend(numbers.iter().map(ToString::to_string));
        cells.push(counts.refused_within_rate.to_string());
        cells.push(format!("{:.1}", row.first_token.p95_ms));
        cells
    };
    draw(&header, report.workspaces.iter().map(cells))
}

/// Writes the table of costs.
fn costs(report: &Report) -> String {
    let cells = |cost: &crate::report::Cost| {
        vec![
            cost.name.clone(),
            format!("{:.3}", cost.cores),
            format!("{:.1}", cost.resident_mb),
        ]
    };
    draw(
        &["process", "cores", "resident MB"],
        report.costs.iter().map(cells),
    )
}

/// Draws a table with aligned columns.
fn draw(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(header);
    for row in rows {
        table.add_row(row);
    }
    table
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect::<Vec<_>>()
        .join("\n")
}

/// Returns the line that sums a run up, and whether nothing was wrong.
pub fn verdict_line(name: &str, report: &Report) -> (String, bool) {
    let orders = &report.orders;
    let total = &report.total;
    let lost = orders.lost + total.wrong + total.broken + total.failed;
    let doubled = orders.doubled + orders.false_not_run;
    let overcommitted = report.records.overcommits;
    let good = lost == 0 && doubled == 0 && overcommitted == 0;
    let sound =
        good && report.records.keys_seen == 0 && report.records.silent == 0 && total.answered > 0;
    let line = format!(
        "{name}: {} answered, {lost} lost, {doubled} doubled, {overcommitted} overcommitted",
        total.answered
    );
    (line, sound)
}
