//! Measures the latency that a gate adds to a direct call of an engine, with a growing number of configured engines.
//!
//! Gate, engine and callers run in this process; direct calls and calls through the gate alternate, one at a time.

#[path = "../tests/gate/client.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod client;
#[path = "../tests/gate/deployment.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod deployment;
#[path = "../tests/gate/process.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod process;

use std::time::{Duration, Instant};

use client::Client;
use deployment::{Deployment, LAGOS, quick_engine};
use quetzalpick_gate::Options;

/// Measured calls on each side.
const CALLS: usize = 2_000;
/// Calls on each side before the measurement.
const WARM_UP: usize = 200;
/// Number of models that the other engines hold.
const MODELS: usize = 620;
/// Number of adapters that the other engines hold.
const ADAPTERS: usize = 3_000;
/// Further engines of each run, which are never chosen.
const OTHERS: [Others; 4] = [
    Others::Foreign(0),
    Others::Foreign(100),
    Others::Foreign(1_000),
    Others::Draining(1_000),
];

/// `Others` describes the number of further engines and what they hold.
#[derive(Debug, Clone, Copy)]
enum Others {
    /// Engines that hold other models and adapters, all of which are configured.
    Foreign(usize),
    /// Engines that hold the same model and are draining; no other models are configured.
    Draining(usize),
}

impl Others {
    /// Adds the engines and returns their number.
    async fn add(self, deployment: &Deployment) -> usize {
        match self {
            Self::Foreign(count) => {
                deployment.add_other_engines(count, MODELS, ADAPTERS).await;
                count
            }
            Self::Draining(count) => {
                deployment.add_draining_engines(count).await;
                count
            }
        }
    }
}

const BODY: &str = r#"{"model":"menu","prompt":"Draft a menu for forty guests","max_tokens":1}"#;

/// Makes one call and returns its duration in microseconds.
async fn call_us(client: &Client) -> u64 {
    let started = Instant::now();
    let answer = client.post("/v1/completions", LAGOS, BODY).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Returns the median and the 99th percentile.
fn percentiles(mut times: Vec<u64>) -> (u64, u64) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Returns the resident memory of this process, in KB.
fn resident_kb() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.unwrap_or("unknown").trim().to_owned()
}

#[tokio::main]
async fn main() {
    println!("others  direct_us(p50 p99)  gate_us(p50 p99)  added_us(p50)  ratio  resident");
    for others in OTHERS {
        let engine = quetzalpick_standin::engine::Options {
            token: Duration::ZERO,
            ..quick_engine()
        };
        let deployment = Deployment::with_engines(vec![engine]).await;
        let count = others.add(&deployment).await;
        let gate = deployment.gate_with("vm-1", Options::default()).await;
        let engines = count + deployment.engines.len();
        gate.wait_until(|state| state.ledger().accounts().len() == engines)
            .await;
        let direct = Client::new(deployment.engines[0].address());
        let (mut direct_us, mut gate_us) = (Vec::new(), Vec::new());
        for call in 0..WARM_UP + CALLS {
            let pair = (call_us(&direct).await, call_us(&gate.client).await);
            if call >= WARM_UP {
                direct_us.push(pair.0);
                gate_us.push(pair.1);
            }
        }
        let ((d50, d99), (g50, g99)) = (percentiles(direct_us), percentiles(gate_us));
        let ratio = g50 as f64 / d50 as f64;
        let added = g50.saturating_sub(d50);
        let resident = resident_kb();
        println!("{others:?}  {d50} {d99}  {g50} {g99}  {added}  {ratio:.2}  {resident}");
    }
}
