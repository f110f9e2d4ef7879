//! Admission: what exceeds the places of a model waits, or is refused as not run.

use std::time::Duration;

use quetzalpick_core::record::Change;
use quetzalpick_standin::engine::Options;

use crate::world::{LAGOS, World, endpoint, quick_engine, quick_gate};

const CHAT: &str = "/v1/completions";
const BODY: &str = r#"{"model":"menu","prompt":"Rush","max_tokens":10}"#;

/// Returns an engine that takes 200 ms for an answer of 10 tokens.
fn slow_engine() -> Options {
    Options {
        token: Duration::from_millis(20),
        ..quick_engine()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_waits_too_long_is_refused_and_did_not_run() {
    let world = World::with_engines(vec![slow_engine()]).await;
    let mut options = quick_gate();
    options.in_flight_per_copy = 1;
    options.queue_timeout = Duration::from_millis(300);
    let gate = world.gate_with("vm-1", options).await;
    let calls = (0..8).map(|_| gate.client.post(CHAT, LAGOS, BODY));
    let answers = futures::future::join_all(calls).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    let refused: Vec<_> = answers.iter().filter(|a| a.status != 200).collect();
    assert!(served >= 1 && !refused.is_empty());
    for answer in refused {
        assert_eq!((answer.status, answer.verdict()), (503, "not-run"));
        assert!(answer.headers.contains_key("retry-after"));
    }
    let record = world.engines[0].record();
    assert_eq!(record.executed, served as u64);
    // No more than one was under way at a time, though eight arrived at once.
    assert!(record.running_max <= 1);
    // Places of callers that went away are free again.
    assert_eq!(gate.client.post(CHAT, LAGOS, BODY).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_engine_gets_no_new_work() {
    let world = World::with_engines(vec![quick_engine(), quick_engine()]).await;
    world.add_idle_engines(3).await;
    let gate = world.gate("vm-1").await;
    let drain = Change::Drain(endpoint("engine-0"), true);
    world.change(drain).await;
    let drained = |state: &quetzalpick_core::state::State| {
        let spec = state.catalog().endpoints().get(&endpoint("engine-0"));
        spec.is_some_and(|spec| spec.draining)
    };
    gate.until(drained).await;
    for _ in 0..20 {
        assert_eq!(gate.client.post(CHAT, LAGOS, BODY).await.status, 200);
    }
    assert_eq!(world.engines[0].record().executed, 0);
    assert_eq!(world.engines[1].record().executed, 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_among_others_is_found_and_left_by_its_draining() {
    let world = World::start().await;
    world.add_other_engines(12, 4, 8).await;
    let gate = world.gate("vm-1").await;
    for draining in [false, true, false] {
        world
            .change(Change::Drain(endpoint("engine-0"), draining))
            .await;
        gate.until(|state| {
            let spec = state.catalog().endpoints().get(&endpoint("engine-0"));
            spec.is_some_and(|spec| spec.draining == draining)
        })
        .await;
        // The state of the moment counts, so not one request more arrives.
        let answer = gate.client.post(CHAT, LAGOS, BODY).await;
        let status = if draining { 503 } else { 200 };
        assert_eq!(answer.status, status, "{}", answer.body);
    }
    assert_eq!(world.engines[0].record().executed, 2);
}
