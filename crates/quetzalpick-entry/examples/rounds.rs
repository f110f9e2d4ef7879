//! Measures the processor time of a planning round by the number of engines and models, while demand stays and just after it has moved.
//!
//! Run with `cargo run --release -p quetzalpick-entry --example rounds`.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use quetzalpick_core::id::{Artifact, Domain, Endpoint, Service};
use quetzalpick_core::table::Table;
use quetzalpick_entry::config::{self, Config, Limits, Model};
use quetzalpick_entry::fleet::{Build, Spec, State};
use quetzalpick_entry::place::{Options, OrderResult, Planner, Report, Work};

/// Numbers of engines and models, one pair per row of the table.
const SIZES: [(usize, usize); 3] = [(112, 191), (157, 250), (1_100, 620)];

/// Time between two rounds, in ms.
const ROUND_MS: u64 = 100;

/// Rounds after which the demand moves to other models, and rounds after that.
const ROUNDS: u64 = 100;

/// Copies at each engine.
const COPIES: usize = 3;

fn model(n: usize) -> Artifact {
    Artifact::try_new(format!("m{n}")).expect("a name")
}

fn config(models: usize) -> Config {
    let models = (0..models).map(|n| Model {
        name: model(n),
        memory_mb: 60_000,
        adapters: Vec::new(),
        adapter_memory_mb: 0,
        load_ms: 5_000,
        disk_load_ms: 1_000,
        host_load_ms: 600,
    });
    let service = config::Service {
        warmup: None,
        name: Service::try_new("llm").expect("a name"),
        connections: None,
        engine: Some(config::EngineSpec {
            models: models.collect(),
            memory_mb: 200_000,
            adapter_slots: 8,
            batch: 12,
            cache_tokens: 40_000,
            loads_per_1000_s: 16_000,
        }),
    };
    let limits = Limits {
        body_bytes: 1,
        head_bytes: 1,
        idle_ms: 1,
    };
    Config::new(1, Vec::new(), vec![service], Vec::new(), limits)
}

/// Returns the entry of an engine, whose first copies are those of all models in turn, and whose last ones are of busy models.
fn entry(n: usize, engines: usize, models: usize) -> (Endpoint, Spec) {
    let copy = |k: usize| match k * engines + n {
        index if index < models => model(index),
        index => model(index % 14),
    };
    let mut copies: Vec<Artifact> = (0..COPIES).map(copy).collect();
    copies.sort();
    copies.dedup();
    let spec = Spec {
        cold_ms: None,
        service: Service::try_new("llm").expect("a name"),
        address: format!("10.0.{}.{}:1", n / 200, n % 200)
            .parse()
            .expect("an address"),
        domain: Domain::try_new("a").expect("a name"),
        state: State::Ready,
        slots: 12,
        started_ms: Some(1),
        build: Build::new("v1"),
        in_memory: Vec::new(),
        on_disk: copies.clone(),
        copies,
    };
    (Endpoint::try_new(format!("e{n}")).expect("a name"), spec)
}

/// Returns demand that is proportional to the rank of the models from `first` on.
fn demand(engines: usize, models: usize, first: usize) -> Table<Artifact, Work> {
    let total = engines as f64 * 5_000.0 / (models as f64).ln();
    let work = |n: usize| (total / (1 + (n + models - first) % models) as f64) as Work;
    (0..models).map(|n| (model(n), work(n))).collect()
}

/// Returns the processor time that this thread has used.
fn cpu_time() -> Duration {
    let clock = ClockId::CLOCK_THREAD_CPUTIME_ID;
    Duration::from(clock_gettime(clock).expect("the clock of a thread"))
}

fn main() {
    println!("| engines | models | round, most | round, mean | round after demand moved, most |");
    println!("|---|---|---|---|---|");
    for (engines, models) in SIZES {
        let config = config(models);
        let entries: Vec<_> = (0..engines).map(|n| entry(n, engines, models)).collect();
        let mut planner = Planner::new(0, Options::default());
        planner.observe(0, &config, entries.clone());
        for (name, spec) in &entries {
            let report = Report {
                accepted_orders: 0,
                busy: false,
                copies: spec.copies.clone(),
                loading_adapters: Vec::new(),
                is_first: true,
            };
            planner.apply_report(0, 0, name, &report);
        }
        let (mut times, mut moved) = (Vec::new(), Vec::new());
        for round in 0..2 * ROUNDS {
            let now_ms = 10_000 + round * ROUND_MS;
            let has_moved = round >= ROUNDS;
            let first = if has_moved { models / 2 } else { 0 };
            planner.observe(now_ms, &config, entries.clone());
            let work = demand(engines, models, first);
            let began = cpu_time();
            planner.set_demand(now_ms, work);
            let orders = planner.plan(now_ms, &config);
            let took = cpu_time() - began;
            if has_moved {
                moved.push(took);
            } else {
                times.push(took);
            }
            for planned in orders {
                let result = Some(OrderResult::Accepted);
                planner.apply_result(now_ms, &config, &planned.endpoint, result);
            }
        }
        let most = |times: &[Duration]| times.iter().max().copied().unwrap_or_default();
        let mean = times.iter().sum::<Duration>() / times.len() as u32;
        println!(
            "| {engines} | {models} | {:?} | {mean:?} | {:?} |",
            most(&times),
            most(&moved)
        );
    }
}
