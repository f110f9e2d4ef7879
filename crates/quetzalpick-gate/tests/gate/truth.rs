//! Verdicts of bookings against the service's own record, with answers closed at every byte and crossed.

use quetzalpick_standin::fault::Fault;

use crate::client::Answer;
use crate::world::{LAGOS, World, quick_gate};

/// Compares an answer with how often the order ran.
fn check(answer: &Answer, executions: u32, order: &str) -> Result<(), String> {
    let truth = match (answer.status, answer.verdict()) {
        (201, _) => executions == 1 && answer.json()["order"] == order,
        (_, "not-run") => executions == 0,
        (_, "may-have-run") => executions <= 1,
        _ => false,
    };
    let told = format!("{} {} {}", answer.status, answer.verdict(), answer.body);
    truth
        .then_some(())
        .ok_or(format!("{order} ran {executions} times: {told}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn verdicts_are_true_wherever_the_answer_is_closed() {
    let world = World::start().await;
    let mut options = quick_gate();
    options.retry.burst = 10_000;
    // The choice must not fall silent because every call fails.
    options.route.health.failures = u32::MAX;
    let gate = world.gate_with("vm-1", options).await;
    let whole = gate.client.book(LAGOS, "whole", "whole").await.unwrap();
    let most = whole.body.len() as u64 + 300;
    let mut answered = 0;
    for bytes in 0..most {
        let order = format!("close-{bytes}");
        world.service.faults().clear();
        world
            .service
            .faults()
            .set(Fault::CloseAt { bytes }, Some(1));
        let answer = gate.client.book(LAGOS, &order, &order).await.unwrap();
        check(&answer, world.executions(&order), &order).unwrap();
        answered += u64::from(answer.status == 201);
        // The repeat never runs it again, and is told no less.
        let repeat = gate.client.book(LAGOS, &order, &order).await.unwrap();
        check(&repeat, world.executions(&order), &order).unwrap();
        assert_eq!(world.executions(&order), 1);
    }
    assert!(0 < answered && answered < most);
    // The naive gate that calls every failure not run is caught by the same oracle.
    let naive = Answer {
        status: 502,
        headers: [("x-quetzalpick-verdict", "not-run")]
            .map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap()))
            .into_iter()
            .collect(),
        body: String::new(),
    };
    assert!(check(&naive, world.executions("close-0"), "close-0").is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn verdicts_are_true_under_other_faults() {
    let world = World::start().await;
    let mut options = quick_gate();
    options.retry.burst = 10_000;
    options.route.health.failures = u32::MAX;
    let gate = world.gate_with("vm-1", options).await;
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
        world.service.faults().clear();
        world.service.faults().set(fault, Some(1));
        let answer = gate.client.book(LAGOS, &order, &order).await.unwrap();
        // A delayed order takes effect after the answer.
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        check(&answer, world.executions(&order), &order).unwrap();
        let repeat = gate.client.book(LAGOS, &order, &order).await.unwrap();
        check(&repeat, world.executions(&order), &order).unwrap();
    }
    // A service that refuses all as leaving is known not to have run anything.
    world.service.faults().clear();
    world.service.set_leaving(true);
    let refused = gate.client.book(LAGOS, "leaving", "leaving").await.unwrap();
    assert_eq!(refused.verdict(), "not-run");
    assert_eq!(world.executions("leaving"), 0);
}
