//! Tests of killing a gate under load.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use nix::sys::signal::Signal;

use crate::harness::{Caller, Settings, System, TOKENS, VMS, chat_body, expected_text};

/// Number of callers for completions, and for bookings.
const CALLERS: usize = 4;

/// Duration of the load before the kill, and after it.
const LOAD_DURATION: Duration = Duration::from_secs(2);

/// Maximum time in which a caller retries one call.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time until the shares of a dead gate are reissued.
const REISSUE_TIMEOUT: Duration = Duration::from_secs(20);

/// Burst of the workspace whose shares are reissued, in tokens.
const BURST: u32 = 3_000;

/// `BookedOrder` holds the name of an order and whether a gate confirmed its execution.
struct BookedOrder {
    order: String,
    confirmed: bool,
}

/// Requests completions until `stop` is set, retrying each at the next gate until its answer is complete.
///
/// `n` is the number of the caller and selects its first gate.
async fn request_completions(
    caller: &Caller,
    gates: &[String],
    n: usize,
    stop: &AtomicBool,
) -> usize {
    let mut answered = 0;
    let stream = n.is_multiple_of(2);
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("Menu {n}-{answered}");
        let deadline = Instant::now() + RETRY_TIMEOUT;
        let mut gate = n;
        let text = loop {
            let answer = caller.chat(&gates[gate % VMS], &prompt, stream).await;
            if let Some(text) = answer.and_then(|answer| answer.complete_text(stream)) {
                break text;
            }
            assert!(Instant::now() < deadline, "no answer to {prompt}");
            gate += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(text, expected_text(&prompt, TOKENS), "{prompt}");
        answered += 1;
    }
    answered
}

/// Books orders until `stop` is set, retrying each at the next gate until its outcome is final.
///
/// `n` is the number of the caller and selects its first gate.
async fn book_orders(
    caller: &Caller,
    gates: &[String],
    n: usize,
    stop: &AtomicBool,
    reuse_key: bool,
) -> Vec<BookedOrder> {
    let mut booked = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let order = format!("order-{n}-{}", booked.len());
        let deadline = Instant::now() + RETRY_TIMEOUT;
        let mut gate = n;
        let confirmed = loop {
            // A caller that does not reuse the idempotency key sends a new one with each retry.
            let key = if reuse_key {
                order.clone()
            } else {
                format!("{order}-{gate}")
            };
            let answer = caller.book_with_key(&gates[gate % VMS], &order, &key).await;
            match answer {
                Some(answer) if answer.status == 201 => break true,
                Some(answer) if answer.status == 409 && answer.verdict() == "may-have-run" => {
                    break false;
                }
                _ => {}
            }
            assert!(Instant::now() < deadline, "no outcome of {order}");
            gate += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        booked.push(BookedOrder { order, confirmed });
    }
    booked
}

/// Kills the first gate while all gates are under load, checks the callers' answers, and returns the executed orders.
async fn kill_under_load(system: &mut System, reuse_key: bool) -> Vec<(String, u64)> {
    let gates: Vec<String> = system.gates.iter().map(|g| g.address.clone()).collect();
    let (lagos, stop) = (system.lagos.clone(), AtomicBool::new(false));
    // Most callers begin at the gate that is killed.
    let completions = join_all(
        (0..CALLERS).map(|n| request_completions(&lagos, &gates, n / 2 * VMS + n % 2, &stop)),
    );
    let bookings =
        join_all((0..CALLERS).map(|n| book_orders(&lagos, &gates, n * VMS, &stop, reuse_key)));
    let kill = async {
        tokio::time::sleep(LOAD_DURATION).await;
        system.gates[0].signal(Signal::SIGKILL);
        tokio::time::sleep(LOAD_DURATION).await;
        stop.store(true, Ordering::Relaxed);
    };
    let (answered, booked, ()) = futures::join!(completions, bookings, kill);
    assert!(
        answered.iter().all(|answered| *answered > 0),
        "{answered:?}"
    );
    let orders = system.orders().await;
    let booked: Vec<BookedOrder> = booked.into_iter().flatten().collect();
    assert!(booked.iter().any(|booked| booked.confirmed));
    for BookedOrder { order, confirmed } in &booked {
        let ran = orders.iter().any(|(name, _)| name == order);
        assert!(ran || !confirmed, "{order} was confirmed and did not run");
    }
    orders
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_gate_runs_no_order_twice_and_its_shares_are_reissued() {
    let settings = Settings {
        work_ms: 50,
        ..Settings::default()
    };
    let mut system = System::start(settings).await;
    let line = format!("create workspace abuja rate {BURST} burst {BURST}");
    system.change(&line).await;
    let abuja = Caller::new(&system.key("supervisor", "abuja").await);
    let orders = kill_under_load(&mut system, true).await;
    let doubled: Vec<_> = orders.iter().filter(|(_, runs)| *runs > 1).collect();
    assert!(doubled.is_empty(), "{doubled:?}");
    // 90 % of the burst is more than the two thirds that the remaining gates have together before the shares of the dead
    // gate are reissued. After that, one of them alone must admit it.
    let body = chat_body("Burst", BURST * 9 / 10, false);
    let deadline = Instant::now() + REISSUE_TIMEOUT;
    let path = "/v1/chat/completions";
    let mut refused = 0;
    loop {
        let answer = abuja
            .post(&system.gates[1].address, path, &body)
            .await
            .unwrap();
        if answer.status == 200 {
            break;
        }
        assert_eq!(
            (answer.status, answer.verdict()),
            (429, "not-run"),
            "{}",
            answer.body
        );
        refused += 1;
        assert!(Instant::now() < deadline, "the shares are not reissued");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // The shares of the dead gate are not available before it is retired.
    assert!(refused > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_with_new_keys_run_orders_twice() {
    let settings = Settings {
        work_ms: 300,
        ..Settings::default()
    };
    let mut system = System::start(settings).await;
    let orders = kill_under_load(&mut system, false).await;
    // Control for the test above: without idempotency keys, some order must run twice.
    assert!(orders.iter().any(|(_, runs)| *runs > 1));
}
