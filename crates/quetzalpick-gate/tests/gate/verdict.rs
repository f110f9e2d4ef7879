//! Verdicts of bookings, compared with the service's record, when connections close at any byte or other faults occur.

use quetzalpick_standin::fault::Fault;

use crate::client::Answer;
use crate::deployment::{Deployment, LAGOS, quick_gate};

/// Compares an answer with the number of times the order was executed.
fn check(answer: &Answer, executions: u32, order: &str) -> Result<(), String> {
    let consistent = match (answer.status, answer.verdict()) {
        (201, _) => executions == 1 && answer.json()["order"] == order,
        (_, "not-run") => executions == 0,
        (_, "may-have-run") => executions <= 1,
        _ => false,
    };
    let received = format!("{} {} {}", answer.status, answer.verdict(), answer.body);
    consistent
        .then_some(())
        .ok_or(format!("{order} ran {executions} times: {received}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn verdicts_are_correct_when_connections_close_at_any_byte() {
    let deployment = Deployment::start().await;
    let mut options = quick_gate();
    options.retry.burst = 10_000;
    // The endpoint must not be ejected although every call fails.
    options.route.health.failures = u32::MAX;
    let gate = deployment.gate_with("vm-1", options).await;
    let complete = gate
        .client
        .book(LAGOS, "complete", "complete")
        .await
        .unwrap();
    let max_bytes = complete.body.len() as u64 + 300;
    let mut answered = 0;
    for bytes in 0..max_bytes {
        let order = format!("close-{bytes}");
        deployment.service.faults().clear();
        deployment
            .service
            .faults()
            .set(Fault::CloseAt { bytes }, Some(1));
        let answer = gate.client.book(LAGOS, &order, &order).await.unwrap();
        check(&answer, deployment.executions(&order), &order).unwrap();
        answered += u64::from(answer.status == 201);
        // The repeat does not run the order again, and its verdict is correct as well.
        let repeat = gate.client.book(LAGOS, &order, &order).await.unwrap();
        check(&repeat, deployment.executions(&order), &order).unwrap();
        assert_eq!(deployment.executions(&order), 1);
    }
    assert!(0 < answered && answered < max_bytes);
    // Control: a gate that reported `not-run` for every failure would fail the same check.
    let wrong = Answer {
        status: 502,
        headers: [("x-quetzalpick-verdict", "not-run")]
            .map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap()))
            .into_iter()
            .collect(),
        body: String::new(),
    };
    assert!(check(&wrong, deployment.executions("close-0"), "close-0").is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn verdicts_are_correct_under_other_faults() {
    let deployment = Deployment::start().await;
    let mut options = quick_gate();
    options.retry.burst = 10_000;
    options.route.health.failures = u32::MAX;
    let gate = deployment.gate_with("vm-1", options).await;
    let faults = [
        Fault::Crossed,
        Fault::AnswerLost,
        Fault::OrderLost,
        Fault::OrderDelayed { ms: 1 },
        Fault::Refuse,
        Fault::Outage,
    ];
    for fault in faults {
        let order = format!("{fault}");
        deployment.service.faults().clear();
        deployment.service.faults().set(fault, Some(1));
        let answer = gate.client.book(LAGOS, &order, &order).await.unwrap();
        // A delayed order takes effect after the answer.
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        check(&answer, deployment.executions(&order), &order).unwrap();
        let repeat = gate.client.book(LAGOS, &order, &order).await.unwrap();
        check(&repeat, deployment.executions(&order), &order).unwrap();
    }
    // A service that refuses every call because it is leaving has certainly run nothing.
    deployment.service.faults().clear();
    deployment.service.set_leaving(true);
    let refused = gate.client.book(LAGOS, "leaving", "leaving").await.unwrap();
    assert_eq!(refused.verdict(), "not-run");
    assert_eq!(deployment.executions("leaving"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn verdicts_are_correct_beside_copies_of_refusals() {
    let deployment = Deployment::start().await;
    let mut options = quick_gate();
    options.retry.burst = 10_000;
    options.route.health.failures = u32::MAX;
    let gate = deployment.gate_with("vm-1", options).await;
    let mut answered = 0;
    for number in 0..20 {
        let order = format!("copy-{number}");
        deployment.service.faults().set(Fault::RefuseTwice, Some(1));
        let answer = gate.client.book(LAGOS, &order, &order).await.unwrap();
        check(&answer, deployment.executions(&order), &order).unwrap();
        answered += u32::from(answer.status == 201);
    }
    assert!(answered > 0);
}
