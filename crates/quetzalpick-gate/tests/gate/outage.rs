//! Outages of the log service.

use std::time::{Duration, Instant};

use crate::once::repeat;
use crate::world::{LAGOS, World};

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
