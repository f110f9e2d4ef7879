//! Formatting of replies as text or JSON.

use comfy_table::presets::NOTHING;

use quetzalpick_language::{Reply, Table};

use crate::arguments::Output;

/// Formats a reply in the requested output format.
pub fn render(reply: &Reply, output: Output) -> String {
    match output {
        Output::Json => {
            serde_json::to_string(reply).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"))
        }
        Output::Table => format_reply(reply),
    }
}

/// Formats a reply as a table or a sentence.
fn format_reply(reply: &Reply) -> String {
    match reply {
        Reply::Table { revision, table } if table.rows.is_empty() => {
            format!("nothing (revision {revision})")
        }
        Reply::Table { revision, table } => {
            format!("{}\n(revision {revision})", format_table(table))
        }
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

/// Formats a table with aligned columns.
fn format_table(table: &Table) -> String {
    let mut formatted = comfy_table::Table::new();
    formatted.load_style(NOTHING);
    formatted.set_header(&table.columns);
    for row in &table.rows {
        formatted.add_row(row.iter().map(ToString::to_string));
    }
    let lines: Vec<String> = formatted
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect();
    lines.join("\n")
}
