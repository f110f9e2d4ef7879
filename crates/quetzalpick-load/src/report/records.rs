//! The stand-ins' own records: what ran how often, and what was overcommitted.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use serde::Serialize;
use serde_json::Value;

use quetzalpick_client::http::{Pool, Timeouts};

use crate::run::Scenario;

/// Largest record, in bytes.
const RECORD_MAX_BYTES: usize = 256 << 20;
/// Longest wait for a record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// `Records` is what the stand-ins recorded, added up.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Records {
    /// Executions by order, over all services, sorted.
    #[serde(skip)]
    pub orders: Vec<(String, u32)>,
    /// Loads that overcommitted an engine's memory.
    pub overcommits: u64,
    /// Load and unload orders that engines took.
    pub moves: u64,
    /// Keys of the scenario that any stand-in saw in a header or a query.
    pub keys_seen: u64,
    /// Stand-ins that did not answer.
    pub silent: u64,
}

/// Reads the records of all stand-ins of a scenario.
pub async fn read(scenario: &Scenario) -> Records {
    let pool = Pool::default();
    let mut records = Records::default();
    for address in &scenario.engines {
        match fetch(&pool, address).await {
            Some((record, text)) => {
                records.overcommits += record["overcommit_count"].as_u64().unwrap_or_default();
                records.moves += record["orders"].as_array().map_or(0, Vec::len) as u64;
                records.keys_seen += keys_in(scenario, &text);
            }
            None => records.silent += 1,
        }
    }
    for address in &scenario.services {
        match fetch(&pool, address).await {
            Some((record, text)) => {
                records.orders.extend(executions(&record));
                records.keys_seen += keys_in(scenario, &text);
            }
            None => records.silent += 1,
        }
    }
    records.orders = merge(std::mem::take(&mut records.orders));
    records
}

/// Reads one stand-in's record, parsed and as text.
async fn fetch(pool: &Pool, address: &str) -> Option<(Value, String)> {
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

/// Counts the scenario's keys that occur in a record.
fn keys_in(scenario: &Scenario, text: &str) -> u64 {
    scenario
        .workspaces
        .iter()
        .filter(|workspace| text.contains(&workspace.key))
        .count() as u64
}

/// Returns the executions by order of a service's record.
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

/// Adds up executions of the same order.
fn merge(mut rows: Vec<(String, u32)>) -> Vec<(String, u32)> {
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
