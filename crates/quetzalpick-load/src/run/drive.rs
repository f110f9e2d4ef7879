//! Sends every arrival at its time, whatever became of those before.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

use quetzalpick_client::http::{Options, Pool};
use quetzalpick_core::verdict::Verdict;

use crate::run::arrivals::Arrival;
use crate::run::balancer::Balancer;
use crate::run::call::{End, Outcome, call};
use crate::run::scenario::Scenario;

/// Idle connections kept for each gate.
const IDLE_PER_GATE: usize = 512;

/// Runs a scenario and returns the outcomes by number; `progress` is told the sent and ended requests once a second.
pub async fn drive(
    scenario: &Scenario,
    arrivals: &[Arrival],
    progress: impl Fn(usize, usize),
) -> Vec<Outcome> {
    let pool = Pool::new(Options {
        idle_per_address: IDLE_PER_GATE,
        ..Options::default()
    });
    let shared = Arc::new((scenario.clone(), Balancer::new(scenario.gates.len())));
    let started = Instant::now();
    let mut tasks = FuturesUnordered::new();
    let mut outcomes = Vec::with_capacity(arrivals.len());
    let mut told = started;
    for arrival in arrivals {
        let due = started + Duration::from_micros(arrival.at_us);
        // Ended requests are taken in while the next one is not due yet.
        loop {
            tokio::select! {
                biased;
                () = sleep_until(due) => break,
                Some(ended) = tasks.next() => outcomes.push(ended),
            }
        }
        let (pool, shared, arrival) = (pool.clone(), Arc::clone(&shared), arrival.clone());
        let number = arrival.number;
        let task = tokio::spawn(async move { call(&pool, &shared.1, &shared.0, &arrival).await });
        tasks.push(async move { task.await.unwrap_or_else(|_| lost(number)) });
        if told.elapsed() >= Duration::from_secs(1) {
            told = Instant::now();
            progress(outcomes.len() + tasks.len(), outcomes.len());
        }
    }
    while let Some(ended) = tasks.next().await {
        outcomes.push(ended);
    }
    outcomes.sort_by_key(|outcome| outcome.number);
    outcomes
}

/// Returns the outcome of a request whose task failed.
fn lost(number: u32) -> Outcome {
    Outcome {
        number,
        end: End::Broken,
        verdict: Verdict::MayHaveRun,
        status: 0,
        tokens: 0,
        first_us: 0,
        between_us: None,
        total_us: 0,
        detail: "the caller's task failed".to_owned(),
    }
}
