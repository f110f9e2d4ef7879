//! Sends every arrival at its scheduled time, whether or not earlier requests have completed.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

use quetzalpick_client::http::{Options, Pool};
use quetzalpick_core::verdict::Verdict;

use crate::run::arrivals::Arrival;
use crate::run::balancer::Balancer;
use crate::run::call::{Outcome, OutcomeKind, call};
use crate::run::scenario::Scenario;

/// Idle connections kept per gate.
const IDLE_PER_GATE: usize = 512;

/// Runs a scenario and returns the outcomes in the order of the arrivals.
///
/// `progress` is called once a second with the numbers of sent and completed requests.
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
    let mut last_progress = started;
    for arrival in arrivals {
        let due = started + Duration::from_micros(arrival.at_us);
        // Collects completed requests until the next arrival is due.
        loop {
            tokio::select! {
                biased;
                () = sleep_until(due) => break,
                Some(outcome) = tasks.next() => outcomes.push(outcome),
            }
        }
        let (pool, shared, arrival) = (pool.clone(), Arc::clone(&shared), arrival.clone());
        let number = arrival.number;
        let task = tokio::spawn(async move { call(&pool, &shared.1, &shared.0, &arrival).await });
        tasks.push(async move { task.await.unwrap_or_else(|_| task_failure(number)) });
        if last_progress.elapsed() >= Duration::from_secs(1) {
            last_progress = Instant::now();
            progress(outcomes.len() + tasks.len(), outcomes.len());
        }
    }
    while let Some(outcome) = tasks.next().await {
        outcomes.push(outcome);
    }
    outcomes.sort_by_key(|outcome| outcome.number);
    outcomes
}

/// Returns the outcome of a request whose task panicked or was cancelled.
fn task_failure(number: u32) -> Outcome {
    Outcome {
        number,
        kind: OutcomeKind::Broken,
        verdict: Verdict::MayHaveRun,
        status: 0,
        tokens: 0,
        first_us: 0,
        between_us: None,
        total_us: 0,
        detail: "the caller's task failed".to_owned(),
    }
}
