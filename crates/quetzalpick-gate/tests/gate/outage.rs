//! During an outage of the log, bookings are refused as not run and a gate without a majority stops serving. After the
//! outage, or after a gate was frozen, a key withdrawn in the meantime is refused.

use std::time::{Duration, Instant};

use quetzalpick_client::traits::{Log, Stream};
use quetzalpick_core::record::{Author, Record};

use crate::deployment::{Deployment, LAGOS, withdraw_key};
use crate::once::repeat;

/// Duration of an outage, longer than the 2 s lease of the gates under test.
const OUTAGE: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_refuses_bookings_as_not_run() {
    let deployment = Deployment::start().await;
    let gate = deployment.gate("vm-1").await;
    deployment.log.set_outage(true);
    let answer = gate.client.book(LAGOS, "4", "4").await.unwrap();
    assert_eq!((answer.status, answer.verdict()), (503, "not-run"));
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(deployment.executions("4"), 0);
    deployment.log.set_outage(false);
    assert_eq!(repeat(&gate, "4").await.status, 201);
    assert_eq!(deployment.executions("4"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn gates_in_contact_with_a_majority_serve_during_a_log_outage() {
    let deployment = Deployment::start().await;
    let mut gates = Vec::new();
    for vm in ["vm-1", "vm-2", "vm-3"] {
        gates.push(deployment.gate(vm).await);
    }
    for gate in &gates {
        gate.wait_until(|state| state.roster().voters().len() == 3)
            .await;
    }
    deployment.log.set_outage(true);
    let body = r#"{"model":"menu","prompt":"Outage","max_tokens":2}"#;
    let started = Instant::now();
    while started.elapsed() < OUTAGE {
        for gate in &gates {
            let answer = gate.client.post("/v1/completions", LAGOS, body).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // A lease that is renewed only by reading the log would have expired during the outage.
    let booking = gates[0].client.book(LAGOS, "6", "6").await.unwrap();
    assert_eq!((booking.status, booking.verdict()), (503, "not-run"));
    // Without a majority the lease expires, and completions are refused as well.
    let alone = gates.remove(0);
    drop(gates);
    let started = Instant::now();
    loop {
        let answer = alone.client.post("/v1/completions", LAGOS, body).await;
        if answer.status != 200 {
            assert_eq!((answer.status, answer.verdict()), (503, "not-run"));
            break;
        }
        assert!(started.elapsed() < Duration::from_secs(20), "serves alone");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawn_during_a_log_outage_is_refused_after_it() {
    let deployment = Deployment::start().await;
    let mut gates = Vec::new();
    for vm in ["vm-1", "vm-2", "vm-3"] {
        gates.push(deployment.gate(vm).await);
    }
    for gate in &gates {
        gate.wait_until(|state| state.roster().voters().len() == 3)
            .await;
    }
    // The operator receives no answer, and the withdrawal enters the log while no gate can read it.
    let operator = deployment.log.handle("operator");
    operator.hold_appends(1);
    let author = Author::Operator("test".to_owned());
    let withdrawal = deployment.entry(author, Record::Change(withdraw_key("lagos-1")));
    let answer = operator.append(Stream::Control, vec![withdrawal]);
    assert!(answer.await.is_err());
    deployment.log.set_outage(true);
    operator.release_appends();
    let body = r#"{"model":"menu","prompt":"Outage","max_tokens":2}"#;
    for gate in &gates {
        let answer = gate.client.post("/v1/completions", LAGOS, body).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    deployment.log.set_outage(false);
    for gate in &gates {
        gate.wait_until(|state| state.catalog().keys().len() == 1)
            .await;
        for _ in 0..5 {
            let answer = gate.client.post("/v1/completions", LAGOS, body).await;
            assert_eq!((answer.status, answer.verdict()), (401, "not-run"));
        }
    }
    let executed = deployment.engines[0].record().executed;
    assert_eq!(executed, gates.len() as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_frozen_longer_than_its_lease_refuses_before_it_reads_the_log() {
    let deployment = Deployment::start().await;
    let gate = deployment.gate("vm-1").await;
    // With two further voters, one gate alone is no majority.
    let mut others = [deployment.gate("vm-2").await, deployment.gate("vm-3").await];
    gate.wait_until(|state| state.roster().voters().len() == 3)
        .await;
    let body = r#"{"model":"menu","prompt":"Pause","max_tokens":2}"#;
    let served = gate.client.post("/v1/completions", LAGOS, body).await;
    assert_eq!(served.status, 200, "{}", served.body);

    let thaw = gate.freeze().await;
    deployment.change(withdraw_key("lagos-1")).await;
    // When the gate continues, it can receive the withdrawal neither from the log nor from the other gates.
    gate.log.set_disconnected(true);
    others.iter_mut().for_each(crate::process::Process::kill);
    tokio::time::sleep(OUTAGE).await;
    // A new connection is used: when the gate continues, it closes idle ones, which were silent for longer than the head
    // timeout.
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {LAGOS}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let connection = gate.client.send_raw(request.as_bytes()).await;
    drop(thaw);
    let answer = connection.rest().await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(
        answer.contains("x-quetzalpick-verdict: not-run\r\n"),
        "{answer}"
    );
    gate.log.set_disconnected(false);
    gate.wait_until(|state| state.catalog().keys().len() == 1)
        .await;
    // The gate may have been retired meanwhile; the key gives no access before or after it has joined again.
    let answer = gate.client.post("/v1/completions", LAGOS, body).await;
    assert!(matches!(answer.status, 401 | 503), "{}", answer.body);
    assert_eq!(answer.verdict(), "not-run");
    assert_eq!(deployment.engines[0].record().executed, 1);
}
