//! Answers as text.

use comfy_table::presets::NOTHING;

use quetzalpick_language::{Reply, Table};

use crate::arguments::Output;

/// Writes a reply in the wanted form.
pub fn render(reply: &Reply, output: Output) -> String {
    match output {
        Output::Json => {
            serde_json::to_string(reply).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"))
        }
        Output::Table => describe(reply),
    }
}

/// Writes a reply as a table or a sentence.
fn describe(reply: &Reply) -> String {
    match reply {
        Reply::Table { revision, table } if table.rows.is_empty() => {
            format!("nothing (revision {revision})")
        }
        Reply::Table { revision, table } => format!("{}\n(revision {revision})", draw(table)),
        Reply::Accepted {
            command,
            revision,
            offset,
        } => {
            format!("accepted: revision {revision}, offset {offset}, command {command}")
        }
        Reply::Rejected { command, reason } => format!("rejected: {reason}; command {command}"),
        Reply::NotSent { retry_after_ms } => {
            format!("not sent: the log cannot be reached, come back in {retry_after_ms} ms")
        }
        Reply::Unknown { command } => format!("unknown: ask with 'show command {command}'"),
        Reply::Invalid { message, .. } => format!("invalid: {message}"),
    }
}

/// Draws a table with aligned columns.
fn draw(table: &Table) -> String {
    let mut drawn = comfy_table::Table::new();
    drawn.load_style(NOTHING);
    drawn.set_header(&table.columns);
    for row in &table.rows {
        drawn.add_row(row.iter().map(ToString::to_string));
    }
    let lines: Vec<String> = drawn
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect();
    lines.join("\n")
}
