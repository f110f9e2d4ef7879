//! Outages of the log service.

use std::time::{Duration, Instant};

use quetzalpick_client::traits::{Log, Stream};
use quetzalpick_core::record::{Author, Record};

use crate::once::repeat;
use crate::world::{LAGOS, World, withdraw_key};

/// Longer than the lease of the gates under test, which is 2 s.
const OUTAGE: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_refuses_bookings_as_not_run() {
    let world = World::start().await;
    let gate = world.gate("vm-1").await;
    world.log.outage(true);
    let answer = gate.client.book(LAGOS, "4", "4").await.unwrap();
    assert_eq!((answer.status, answer.verdict()), (503, "not-run"));
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(world.executions("4"), 0);
    world.log.outage(false);
    assert_eq!(repeat(&gate, "4").await.status, 201);
    assert_eq!(world.executions("4"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn gates_that_hear_a_majority_serve_through_an_outage() {
    let world = World::start().await;
    let mut gates = Vec::new();
    for vm in ["vm-1", "vm-2", "vm-3"] {
        gates.push(world.gate(vm).await);
    }
    for gate in &gates {
        gate.until(|state| state.roster().voters().len() == 3).await;
    }
    world.log.outage(true);
    let body = r#"{"model":"menu","prompt":"Outage","max_tokens":2}"#;
    let begin = Instant::now();
    while begin.elapsed() < OUTAGE {
        for gate in &gates {
            let answer = gate.client.post("/v1/completions", LAGOS, body).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The naive lease, which only reads renew, would have ended within the outage.
    let booking = gates[0].client.book(LAGOS, "6", "6").await.unwrap();
    assert_eq!((booking.status, booking.verdict()), (503, "not-run"));
    // Without a majority the lease ends, and completions are refused as well.
    let alone = gates.remove(0);
    drop(gates);
    let begin = Instant::now();
    loop {
        let answer = alone.client.post("/v1/completions", LAGOS, body).await;
        if answer.status != 200 {
            assert_eq!((answer.status, answer.verdict()), (503, "not-run"));
            break;
        }
        assert!(begin.elapsed() < Duration::from_secs(20), "serves alone");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawn_during_an_outage_opens_nothing_once_the_log_is_back() {
    let world = World::start().await;
    let mut gates = Vec::new();
    for vm in ["vm-1", "vm-2", "vm-3"] {
        gates.push(world.gate(vm).await);
    }
    for gate in &gates {
        gate.until(|state| state.roster().voters().len() == 3).await;
    }
    // The operator gets no answer, and the withdrawal takes effect in the log while nobody can read it.
    let operator = world.log.handle("operator");
    operator.hold_appends(1);
    let author = Author::Operator("test".to_owned());
    let withdrawal = world.entry(author, Record::Change(withdraw_key("lagos-1")));
    let answer = operator.append(Stream::Control, vec![withdrawal]);
    assert!(answer.await.is_err());
    world.log.outage(true);
    operator.release();
    let body = r#"{"model":"menu","prompt":"Outage","max_tokens":2}"#;
    for gate in &gates {
        let answer = gate.client.post("/v1/completions", LAGOS, body).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    world.log.outage(false);
    for gate in &gates {
        gate.until(|state| state.catalog().keys().len() == 1).await;
        for _ in 0..5 {
            let answer = gate.client.post("/v1/completions", LAGOS, body).await;
            assert_eq!((answer.status, answer.verdict()), (401, "not-run"));
        }
    }
    let executed = world.engines[0].record().executed;
    assert_eq!(executed, gates.len() as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_frozen_for_longer_than_its_lease_refuses_before_it_has_read_the_log() {
    let world = World::start().await;
    let gate = world.gate("vm-1").await;
    // Two further voters, so that one alone is no majority.
    let mut others = [world.gate("vm-2").await, world.gate("vm-3").await];
    gate.until(|state| state.roster().voters().len() == 3).await;
    let body = r#"{"model":"menu","prompt":"Pause","max_tokens":2}"#;
    let served = gate.client.post("/v1/completions", LAGOS, body).await;
    assert_eq!(served.status, 200, "{}", served.body);

    let thaw = gate.freeze().await;
    world.change(withdraw_key("lagos-1")).await;
    // On waking the gate cannot learn of the withdrawal, neither from the log nor from the others.
    gate.log.set_disconnected(true);
    others.iter_mut().for_each(crate::process::Process::kill);
    tokio::time::sleep(OUTAGE).await;
    // A connection of its own: a kept one is closed on waking, as it was silent for longer than a head may take.
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {LAGOS}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let asked = gate.client.sent(request.as_bytes()).await;
    drop(thaw);
    let answer = asked.rest().await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(
        answer.contains("x-quetzalpick-verdict: not-run\r\n"),
        "{answer}"
    );
    gate.log.set_disconnected(false);
    gate.until(|state| state.catalog().keys().len() == 1).await;
    // The gate may have been retired meanwhile; the key opens nothing before and after it has joined again.
    let answer = gate.client.post("/v1/completions", LAGOS, body).await;
    assert!(matches!(answer.status, 401 | 503), "{}", answer.body);
    assert_eq!(answer.verdict(), "not-run");
    assert_eq!(world.engines[0].record().executed, 1);
}
