//! Formats a report as text with tables.

use comfy_table::Table;
use comfy_table::presets::NOTHING;

use crate::report::metrics::LatencySummary;
use crate::report::summary::{Report, WorkspaceReport};

/// Formats a report as text.
pub fn render(report: &Report) -> String {
    let mut sections = vec![totals(report), workspaces(report)];
    if !report.resource_usage.is_empty() {
        sections.push(resource_usage(report));
    }
    if !report.failures.is_empty() {
        let lines = report
            .failures
            .iter()
            .take(8)
            .map(|f| format!("  {} x {}: {}", f.count, f.kind, f.detail));
        sections.push(lines.collect::<Vec<_>>().join("\n"));
    }
    sections.join("\n\n")
}

/// Formats the metrics of the complete run.
fn totals(report: &Report) -> String {
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

/// Formats the percentiles of a latency distribution.
fn latency(latency: &LatencySummary) -> String {
    let LatencySummary {
        p50_ms,
        p95_ms,
        p99_ms,
        max_ms,
        ..
    } = latency;
    format!("p50 {p50_ms:.1} ms, p95 {p95_ms:.1} ms, p99 {p99_ms:.1} ms, max {max_ms:.1} ms")
}

/// Formats the table of workspaces.
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
    let cells = |row: &WorkspaceReport| {
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
    aligned_table(&header, report.workspaces.iter().map(cells))
}

/// Formats the table of resource usage by process.
fn resource_usage(report: &Report) -> String {
    let cells = |usage: &crate::report::ResourceUsage| {
        vec![
            usage.name.clone(),
            format!("{:.3}", usage.cores),
            format!("{:.1}", usage.resident_mb),
        ]
    };
    aligned_table(
        &["process", "cores", "resident MB"],
        report.resource_usage.iter().map(cells),
    )
}

/// Formats a table with aligned columns and no borders.
fn aligned_table(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
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

/// Returns a one-line summary of a run, and whether the run passed.
pub fn verdict_line(name: &str, report: &Report) -> (String, bool) {
    let orders = &report.orders;
    let total = &report.total;
    let lost = orders.lost + total.wrong + total.broken + total.failed;
    let doubled = orders.doubled + orders.false_not_run;
    let overcommitted = report.records.overcommits;
    let all_correct = lost == 0 && doubled == 0 && overcommitted == 0;
    let passed = all_correct
        && report.records.keys_seen == 0
        && report.records.unanswered == 0
        && total.answered > 0;
    let line = format!(
        "{name}: {} answered, {lost} lost, {doubled} doubled, {overcommitted} overcommitted",
        total.answered
    );
    (line, passed)
}
