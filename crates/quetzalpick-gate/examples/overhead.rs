//! Measures what a gate adds to a direct call of an engine, with more and more engines in the configuration.
//!
//! Both sides run in this process, one call at a time, direct and through the gate in turn.

#[path = "../tests/gate/client.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod client;
#[path = "../tests/gate/process.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod process;
#[path = "../tests/gate/world.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod world;

use std::time::{Duration, Instant};

use client::Client;
use quetzalpick_gate::Options;
use world::{LAGOS, World, quick_engine};

const CALLS: usize = 2_000;
const WARM_UP: usize = 200;
/// Models that other engines hold.
const MODELS: usize = 620;
/// Adapters that other engines hold.
const ADAPTERS: usize = 3_000;
/// Other engines, which are never chosen.
const OTHERS: [Others; 4] = [
    Others::Foreign(0),
    Others::Foreign(100),
    Others::Foreign(1_000),
    Others::Draining(1_000),
];

/// `Others` is a number of other engines and what they hold.
#[derive(Debug, Clone, Copy)]
enum Others {
    /// Engines of other models and adapters, all of which are configured.
    Foreign(usize),
    /// Engines that hold the same model and are draining; no more models are configured.
    Draining(usize),
}

impl Others {
    /// Adds the engines and returns their number.
    async fn add(self, world: &World) -> usize {
        match self {
            Self::Foreign(count) => {
                world.add_other_engines(count, MODELS, ADAPTERS).await;
                count
            }
            Self::Draining(count) => {
                world.add_idle_engines(count).await;
                count
            }
        }
    }
}

const BODY: &str = r#"{"model":"menu","prompt":"Draft a menu for forty guests","max_tokens":1}"#;

/// Times one call, in microseconds.
async fn time(client: &Client) -> u64 {
    let begin = Instant::now();
    let answer = client.post("/v1/completions", LAGOS, BODY).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX)
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
        let world = World::with_engines(vec![engine]).await;
        let count = others.add(&world).await;
        let gate = world.gate_with("vm-1", Options::default()).await;
        let engines = count + world.engines.len();
        gate.until(|state| state.ledger().accounts().len() == engines)
            .await;
        let direct = Client::new(world.engines[0].address());
        let (mut left, mut right) = (Vec::new(), Vec::new());
        for call in 0..WARM_UP + CALLS {
            let pair = (time(&direct).await, time(&gate.client).await);
            if call >= WARM_UP {
                left.push(pair.0);
                right.push(pair.1);
            }
        }
        let ((d50, d99), (g50, g99)) = (percentiles(left), percentiles(right));
        let ratio = g50 as f64 / d50 as f64;
        let added = g50.saturating_sub(d50);
        let resident = resident_kb();
        println!("{others:?}  {d50} {d99}  {g50} {g99}  {added}  {ratio:.2}  {resident}");
    }
}
