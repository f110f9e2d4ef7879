//! Several reports side by side: the median of each figure with the least and the greatest run.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde_json::Value;

/// `Figure` is one column: its title, where it stands in a report, and its digits behind the point.
struct Figure {
    title: &'static str,
    path: &'static str,
    digits: usize,
}

const FIGURES: &[Figure] = &[
    Figure {
        title: "attainment",
        path: "/attainment",
        digits: 3,
    },
    Figure {
        title: "attained per accelerator, 1/s",
        path: "/attained_per_accelerator_s",
        digits: 2,
    },
    Figure {
        title: "worst workspace",
        path: "/worst_workspace",
        digits: 3,
    },
    Figure {
        title: "refused within rate",
        path: "/total/refused_within_rate",
        digits: 0,
    },
    Figure {
        title: "failed or broken",
        path: "/total/failed",
        digits: 0,
    },
    Figure {
        title: "first token p95, ms",
        path: "/first_token/p95_ms",
        digits: 0,
    },
    Figure {
        title: "between tokens p95, ms",
        path: "/between_tokens/p95_ms",
        digits: 1,
    },
    Figure {
        title: "moves",
        path: "/records/moves",
        digits: 0,
    },
    Figure {
        title: "doubled or lost",
        path: "/orders/doubled",
        digits: 0,
    },
];

/// `Group` is the runs of one experiment.
#[derive(Debug, Clone)]
pub struct Group {
    /// Name of the experiment.
    pub name: String,
    /// Its reports.
    pub reports: Vec<Value>,
}

/// Writes a table with a row for each group.
pub fn compare(groups: &[Group]) -> String {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    let titles = FIGURES.iter().map(|figure| figure.title);
    table.set_header(["experiment", "runs"].into_iter().chain(titles));
    for group in groups {
        let mut row = vec![group.name.clone(), group.reports.len().to_string()];
        row.extend(FIGURES.iter().map(|figure| spread(figure, &group.reports)));
        table.add_row(row);
    }
    table
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect::<Vec<_>>()
        .join("\n")
}

/// Writes the median of a figure, with the least and the greatest where there are several runs.
fn spread(figure: &Figure, reports: &[Value]) -> String {
    let mut values: Vec<f64> = reports.iter().map(|report| value(figure, report)).collect();
    values.sort_by(f64::total_cmp);
    let digits = figure.digits;
    let (Some(least), Some(greatest)) = (values.first(), values.last()) else {
        return String::new();
    };
    let median = values[values.len() / 2];
    if values.len() == 1 {
        return format!("{median:.digits$}");
    }
    format!("{median:.digits$} ({least:.digits$} to {greatest:.digits$})")
}

/// Returns a figure of a report; columns that count two kinds of fault add them up.
fn value(figure: &Figure, report: &Value) -> f64 {
    let at = |path: &str| {
        report
            .pointer(path)
            .and_then(Value::as_f64)
            .unwrap_or_default()
    };
    match figure.path {
        "/total/failed" => at("/total/failed") + at("/total/broken") + at("/total/wrong"),
        "/orders/doubled" => {
            at("/orders/doubled") + at("/orders/lost") + at("/orders/false_not_run")
        }
        path => at(path),
    }
}
