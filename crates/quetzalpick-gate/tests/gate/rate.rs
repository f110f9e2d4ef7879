//! All gates together admit no more than a workspace's rate and burst, and one gate's tokens are usable at another.

use std::time::{Duration, Instant};

use quetzalpick_gate::Options;

use crate::deployment::{Deployment, LAGOS, PASTO, add_key, quick_gate, set_workspace};

const CHAT: &str = "/v1/chat/completions";
/// Tokens charged for one request: 4 for the prompt and 46 for the answer.
const CHARGE: u64 = 50;
const RATE: u64 = 100;
const BURST: u64 = 1_000;

/// Returns the body of a request whose answer uses all the tokens that are charged.
fn body() -> String {
    // `user: 123456789` and a line feed are 16 bytes, 4 tokens.
    let message = r#"{"role":"user","content":"123456789"}"#;
    format!(r#"{{"model":"menu","messages":[{message}],"max_tokens":46}}"#)
}

/// Returns whether the admitted tokens exceed the workspace's burst plus what its rate refills in a window.
fn exceeds(admitted: u64, window: Duration) -> bool {
    let refilled = RATE as u128 * window.as_millis() / 1_000;
    u128::from(admitted) > u128::from(BURST) + refilled
}

#[tokio::test(flavor = "multi_thread")]
async fn gates_share_one_burst_and_one_rate() {
    let deployment = Deployment::start().await;
    deployment
        .change(set_workspace("pasto", RATE, BURST, &["menu"]))
        .await;
    let gates = [
        deployment.gate("vm-1").await,
        deployment.gate("vm-2").await,
        deployment.gate("vm-3").await,
    ];
    for gate in &gates {
        gate.wait_until(|state| state.revision().0 >= 9).await;
    }
    // The window starts before the first request, because buckets may already be full then.
    let window_start = Instant::now();
    // The first 20 requests go to a gate without tokens, the others to all gates in turn.
    let mut admitted = 0;
    let mut refused = 0;
    for number in 0..60 {
        let gate = &gates[if number < 20 { 2 } else { number % 3 }];
        let answer = gate.client.post(CHAT, PASTO, body()).await;
        match answer.status {
            200 => admitted += CHARGE,
            429 => {
                assert_eq!(answer.verdict(), "not-run");
                assert!(answer.headers.contains_key("retry-after"));
                refused += 1;
            }
            other => panic!("{other}: {}", answer.body),
        }
        assert!(
            !exceeds(admitted, window_start.elapsed()),
            "{admitted} admitted"
        );
    }
    // Tokens that one gate holds are available at another: at each gate less than one request's charge stays unused.
    assert!(
        refused > 0 && admitted >= BURST - 4 * CHARGE,
        "{admitted} admitted"
    );
    // Control: a full bucket at each gate would fail the same check.
    assert!(exceeds(3 * BURST, Duration::from_secs(1)));
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_are_not_refused_when_one_charges_the_tokens_gathered_for_another() {
    for _ in 0..4 {
        let deployment = Deployment::start().await;
        let _first = deployment.gate("vm-1").await;
        // The other gate holds all tokens at first.
        let second = deployment.gate("vm-2").await;
        let orders: Vec<String> = (0..48).map(|n| format!("order-{n}")).collect();
        let calls = orders
            .iter()
            .map(|order| second.client.book(LAGOS, order, order));
        let answers = futures::future::join_all(calls).await;
        let statuses: Vec<u16> = answers.iter().flatten().map(|a| a.status).collect();
        assert_eq!(statuses, [201; 48]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_pause_of_the_only_donor_does_not_cause_refusals() {
    let deployment = Deployment::start().await;
    // The first gate holds all tokens.
    let first = deployment.gate("vm-1").await;
    let second = deployment.gate("vm-2").await;
    let thaw = first.freeze().await;
    let client = second.client.clone();
    let booking = tokio::spawn(async move { client.book(LAGOS, "1", "1").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(thaw);
    assert_eq!(booking.await.unwrap().unwrap().status, 201);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_donor_is_asked_if_the_first_does_not_answer() {
    const KEY: &str = "sk-tumaco-0123456789abcdef";
    let deployment = Deployment::start().await;
    let first = deployment.gate("vm-1").await;
    let second = deployment.gate("vm-2").await;
    let _third = deployment.gate("vm-3").await;
    // Each gate holds a third of the burst, and an order is charged 10 tokens.
    deployment.change(set_workspace("tumaco", 1, 24, &[])).await;
    deployment.change(add_key("tumaco-1", "tumaco", KEY)).await;
    // The gates publish their shares every 250 ms.
    tokio::time::sleep(Duration::from_millis(800)).await;
    let thaw = first.freeze().await;
    let answer = second.client.book(KEY, "1", "1").await.unwrap();
    drop(thaw);
    assert_eq!(answer.status, 201);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_waits_for_hints_that_another_publishes_after_it_has_joined() {
    let deployment = Deployment::start().await;
    // The first gate holds all tokens, and publishes its shares as it starts and 1.5 s later.
    let options = Options {
        share_interval: Duration::from_millis(1_500),
        ..quick_gate()
    };
    let first = deployment.gate_with("vm-1", options);
    let order = async {
        deployment.wait_until_joined(1).await;
        let second = deployment.gate("vm-2").await;
        second.client.book(LAGOS, "1", "1").await.unwrap()
    };
    let (_first, answer) = tokio::join!(first, order);
    assert_eq!(answer.status, 201);
}
