//! Bookings: at most once, across gates that die and a log that fails.

use std::time::Duration;

use http::Method;
use quetzalpick_standin::fault::Fault;

use crate::client::Answer;
use crate::process::{Process, until};
use crate::world::{LAGOS, World};

/// Repeats a booking until it is answered otherwise than with an invitation to come back.
pub(crate) async fn repeat(gate: &Process, order: &str) -> Answer {
    for _ in 0..100 {
        let answer = gate.client.book(LAGOS, order, order).await.unwrap();
        if answer.status != 503 {
            return answer;
        }
        assert_eq!(answer.verdict(), "not-run");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("refused for ever");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_through_another_gate_gets_the_recorded_answer() {
    let world = World::start().await;
    let gates = [world.gate("vm-1").await, world.gate("vm-2").await];
    let first = gates[0].client.book(LAGOS, "1", "1").await.unwrap();
    let second = gates[1].client.book(LAGOS, "1", "1").await.unwrap();
    assert_eq!((first.status, second.status), (201, 201));
    assert_eq!(first.body, second.body);
    assert_eq!(second.headers["idempotency-replayed"], "true");
    assert_eq!(world.executions("1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_repeats_run_once() {
    let world = World::start().await;
    let gates = [world.gate("vm-1").await, world.gate("vm-2").await];
    for order in ["a", "b", "c", "d"] {
        let calls = (0..8).map(|at| gates[at % 2].client.book(LAGOS, order, order));
        let answers = futures::future::join_all(calls).await;
        let answers: Vec<_> = answers.into_iter().map(Option::unwrap).collect();
        assert!(answers.iter().any(|answer| answer.status == 201));
        assert!(
            answers
                .iter()
                .all(|answer| [201, 409].contains(&answer.status))
        );
        assert_eq!(world.executions(order), 1);
    }
    // The naive version: without the header nothing ties repeats together, and the same oracle sees it.
    let bearer = format!("Bearer {LAGOS}");
    let headers = [("authorization", bearer.as_str())];
    for gate in &gates {
        let path = "/services/orders/bookings";
        let body = r#"{"order":"naive"}"#;
        gate.client.call(Method::POST, path, &headers, body).await;
    }
    assert_eq!(world.executions("naive"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_that_dies_between_claim_and_dispatch_leaves_no_second_run() {
    let world = World::start().await;
    let mut first = world.gate("vm-1").await;
    let second = world.gate("vm-2").await;
    // The claim's append is on its way when the gate dies, and takes effect after that.
    first.log.hold_appends(1_000);
    let client = first.client.clone();
    let log = first.log.clone();
    let before = log.appends();
    let booking = tokio::spawn(async move { client.book(LAGOS, "2", "2").await });
    until(|| log.appends() > before).await;
    first.kill();
    assert!(booking.await.unwrap().is_none());
    world.log.release();
    second
        .until(|state| state.claims().active().keys().any(|key| key.key == "2"))
        .await;
    // Only the dead gate knew that nothing ran, so the repeat is told what is known.
    let answer = repeat(&second, "2").await;
    assert_eq!((answer.status, answer.verdict()), (409, "may-have-run"));
    assert_eq!(world.executions("2"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_that_dies_between_dispatch_and_answer_leaves_no_second_run() {
    let world = World::start().await;
    let mut first = world.gate("vm-1").await;
    let second = world.gate("vm-2").await;
    world.service.faults().set(Fault::Slow { ms: 400 }, Some(1));
    let client = first.client.clone();
    let booking = tokio::spawn(async move { client.book(LAGOS, "3", "3").await });
    // The service has received the call once it has seen the header.
    until(|| !world.service.record().requests.headers.is_empty()).await;
    first.kill();
    assert!(booking.await.unwrap().is_none());
    let answer = repeat(&second, "3").await;
    assert_eq!((answer.status, answer.verdict()), (409, "may-have-run"));
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(world.executions("3") <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_shows_up_late_is_closed_as_not_run() {
    let world = World::start().await;
    let gate = world.gate("vm-1").await;
    // The append is held back with all its repeats; the answer to the caller is that nothing ran, which is true.
    gate.log.hold_appends(1_000);
    let answer = gate.client.book(LAGOS, "5", "5").await.unwrap();
    assert_eq!((answer.status, answer.verdict()), (503, "not-run"));
    gate.log.hold_appends(0);
    world.log.release();
    // The claim stands now, and is closed, so that the repeat runs.
    assert_eq!(repeat(&gate, "5").await.status, 201);
    assert_eq!(world.executions("5"), 1);
}
