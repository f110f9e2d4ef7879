//! Admission and draining: requests beyond the limit of a model wait or are refused as not run.

use std::time::Duration;

use quetzalpick_core::record::Change;
use quetzalpick_standin::engine::Options;

use crate::deployment::{Deployment, LAGOS, endpoint, quick_engine, quick_gate};

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
async fn requests_that_exceed_the_queue_timeout_are_refused_as_not_run() {
    let deployment = Deployment::with_engines(vec![slow_engine()]).await;
    let mut options = quick_gate();
    options.in_flight_per_copy = 1;
    options.queue_timeout = Duration::from_millis(300);
    let gate = deployment.gate_with("vm-1", options).await;
    let calls = (0..8).map(|_| gate.client.post(CHAT, LAGOS, BODY));
    let answers = futures::future::join_all(calls).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    let refused: Vec<_> = answers.iter().filter(|a| a.status != 200).collect();
    assert!(served >= 1 && !refused.is_empty());
    for answer in refused {
        assert_eq!((answer.status, answer.verdict()), (503, "not-run"));
        assert!(answer.headers.contains_key("retry-after"));
    }
    let record = deployment.engines[0].record();
    assert_eq!(record.executed, served as u64);
    // At most one request was in flight at a time, although eight arrived at once.
    assert!(record.running_max <= 1);
    // The permits of callers that gave up are free again.
    assert_eq!(gate.client.post(CHAT, LAGOS, BODY).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_engine_gets_no_new_work() {
    let deployment = Deployment::with_engines(vec![quick_engine(), quick_engine()]).await;
    deployment.add_draining_engines(3).await;
    let gate = deployment.gate("vm-1").await;
    let drain = Change::Drain(endpoint("engine-0"), true);
    deployment.change(drain).await;
    let drained = |state: &quetzalpick_core::state::State| {
        let spec = state.catalog().endpoints().get(&endpoint("engine-0"));
        spec.is_some_and(|spec| spec.draining)
    };
    gate.wait_until(drained).await;
    for _ in 0..20 {
        assert_eq!(gate.client.post(CHAT, LAGOS, BODY).await.status, 200);
    }
    assert_eq!(deployment.engines[0].record().executed, 0);
    assert_eq!(deployment.engines[1].record().executed, 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn routing_follows_the_draining_flag_of_one_engine_among_many() {
    let deployment = Deployment::start().await;
    deployment.add_other_engines(12, 4, 8).await;
    let gate = deployment.gate("vm-1").await;
    for draining in [false, true, false] {
        deployment
            .change(Change::Drain(endpoint("engine-0"), draining))
            .await;
        gate.wait_until(|state| {
            let spec = state.catalog().endpoints().get(&endpoint("engine-0"));
            spec.is_some_and(|spec| spec.draining == draining)
        })
        .await;
        // The current state decides, so not a single further request arrives.
        let answer = gate.client.post(CHAT, LAGOS, BODY).await;
        let status = if draining { 503 } else { 200 };
        assert_eq!(answer.status, status, "{}", answer.body);
    }
    assert_eq!(deployment.engines[0].record().executed, 2);
}
