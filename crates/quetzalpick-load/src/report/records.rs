//! Reads the stand-ins' records: how often each order was executed, and which loads overcommitted memory.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use serde::Serialize;
use serde_json::Value;

use quetzalpick_client::http::{Pool, Timeouts};

use crate::run::Scenario;

/// Maximum size of a record, in bytes.
const RECORD_MAX_BYTES: usize = 256 << 20;
/// Maximum wait for the head of an answer with a record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// `Records` holds the sums over the records of all stand-ins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Records {
    /// Number of executions of each order over all services, sorted by order.
    #[serde(skip)]
    pub orders: Vec<(String, u32)>,
    /// Loads that overcommitted an engine's memory.
    pub overcommits: u64,
    /// Load and unload orders that engines received.
    pub moves: u64,
    /// API keys of the scenario found in the records of stand-ins, in a header or a query.
    pub keys_seen: u64,
    /// Stand-ins that did not answer.
    #[serde(rename = "silent")]
    pub unanswered: u64,
}

/// Reads the records of all stand-ins of a scenario.
pub async fn read_records(scenario: &Scenario) -> Records {
    let pool = Pool::default();
    let mut records = Records::default();
    for address in &scenario.engines {
        match fetch_record(&pool, address).await {
            Some((record, text)) => {
                records.overcommits += record["overcommit_count"].as_u64().unwrap_or_default();
                records.moves += record["orders"].as_array().map_or(0, Vec::len) as u64;
                records.keys_seen += count_keys(scenario, &text);
            }
            None => records.unanswered += 1,
        }
    }
    for address in &scenario.services {
        match fetch_record(&pool, address).await {
            Some((record, text)) => {
                records.orders.extend(executions(&record));
                records.keys_seen += count_keys(scenario, &text);
            }
            None => records.unanswered += 1,
        }
    }
    records.orders = sum_by_order(std::mem::take(&mut records.orders));
    records
}

/// Fetches one stand-in's record; returns it parsed and as text.
async fn fetch_record(pool: &Pool, address: &str) -> Option<(Value, String)> {
    let request = http::Request::get("/admin/record")
        .body(Full::<Bytes>::default())
        .ok()?;
    let timeouts = Timeouts {
        head: RECORD_TIMEOUT,
        ..Timeouts::default()
    };
    let response = pool.send(address, request, timeouts).await.ok()?;
    let bytes = response
        .into_body()
        .collect_up_to(RECORD_MAX_BYTES)
        .await
        .ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Some((serde_json::from_str(&text).ok()?, text))
}

/// Counts the API keys of the scenario that occur in a record.
fn count_keys(scenario: &Scenario, text: &str) -> u64 {
    scenario
        .workspaces
        .iter()
        .filter(|workspace| text.contains(&workspace.key))
        .count() as u64
}

/// Returns the executions by order from a service's record.
fn executions(record: &Value) -> Vec<(String, u32)> {
    let rows = record["executions"].as_array().cloned().unwrap_or_default();
    let row = |row: Value| {
        Some((
            row[0].as_str()?.to_owned(),
            u32::try_from(row[1].as_u64()?).ok()?,
        ))
    };
    rows.into_iter().filter_map(row).collect()
}

/// Sums the executions of each order; the result is sorted by order.
fn sum_by_order(mut rows: Vec<(String, u32)>) -> Vec<(String, u32)> {
    rows.sort();
    let mut merged: Vec<(String, u32)> = Vec::with_capacity(rows.len());
    for (order, count) in rows {
        match merged.last_mut() {
            Some((last, total)) if *last == order => *total += count,
            _ => merged.push((order, count)),
        }
    }
    merged
}
