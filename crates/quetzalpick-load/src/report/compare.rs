//! Compares reports side by side: the median of each metric with its least and greatest value.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde_json::Value;

/// `Column` describes a column: its title, the JSON pointer of its metric in a report, and its decimal places.
struct Column {
    title: &'static str,
    path: &'static str,
    digits: usize,
}

const COLUMNS: &[Column] = &[
    Column {
        title: "attainment",
        path: "/attainment",
        digits: 3,
    },
    Column {
        title: "attained per accelerator, 1/s",
        path: "/attained_per_accelerator_s",
        digits: 2,
    },
    Column {
        title: "worst workspace",
        path: "/worst_workspace",
        digits: 3,
    },
    Column {
        title: "refused within rate",
        path: "/total/refused_within_rate",
        digits: 0,
    },
    Column {
        title: "failed or broken",
        path: "/total/failed",
        digits: 0,
    },
    Column {
        title: "first token p95, ms",
        path: "/first_token/p95_ms",
        digits: 0,
    },
    Column {
        title: "between tokens p95, ms",
        path: "/between_tokens/p95_ms",
        digits: 1,
    },
    Column {
        title: "moves",
        path: "/records/moves",
        digits: 0,
    },
    Column {
        title: "doubled or lost",
        path: "/orders/doubled",
        digits: 0,
    },
];

/// `Experiment` groups the reports of repeated runs under one name.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// Reports of its runs.
    pub reports: Vec<Value>,
}

/// Returns a Markdown table with a row for each experiment.
pub fn render_comparison(experiments: &[Experiment]) -> String {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    let titles = COLUMNS.iter().map(|column| column.title);
    table.set_header(["experiment", "runs"].into_iter().chain(titles));
    for experiment in experiments {
        let mut row = vec![
            experiment.name.clone(),
            experiment.reports.len().to_string(),
        ];
        row.extend(
            COLUMNS
                .iter()
                .map(|column| format_runs(column, &experiment.reports)),
        );
        table.add_row(row);
    }
    table
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect::<Vec<_>>()
        .join("\n")
}

/// Formats the median of a metric, with the least and the greatest value if there are several runs.
fn format_runs(column: &Column, reports: &[Value]) -> String {
    let mut values: Vec<f64> = reports
        .iter()
        .map(|report| column_value(column, report))
        .collect();
    values.sort_by(f64::total_cmp);
    let digits = column.digits;
    let (Some(least), Some(greatest)) = (values.first(), values.last()) else {
        return String::new();
    };
    let median = values[values.len() / 2];
    if values.len() == 1 {
        return format!("{median:.digits$}");
    }
    format!("{median:.digits$} ({least:.digits$} to {greatest:.digits$})")
}

/// Returns a metric of a report; columns that count several kinds of fault return their sum.
fn column_value(column: &Column, report: &Value) -> f64 {
    let metric = |path: &str| {
        report
            .pointer(path)
            .and_then(Value::as_f64)
            .unwrap_or_default()
    };
    match column.path {
        "/total/failed" => {
            metric("/total/failed") + metric("/total/broken") + metric("/total/wrong")
        }
        "/orders/doubled" => {
            metric("/orders/doubled") + metric("/orders/lost") + metric("/orders/false_not_run")
        }
        path => metric(path),
    }
}
