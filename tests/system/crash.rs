//! A gate killed under load.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use nix::sys::signal::Signal;

use crate::harness::{Caller, Settings, System, TOKENS, VMS, chat, expected};

/// Callers of each kind.
const CALLERS: usize = 4;

/// Time under load before and after the kill.
const LOAD: Duration = Duration::from_secs(2);

/// Longest time in which a caller repeats one call.
const REPEATS: Duration = Duration::from_secs(20);

/// Time in which the shares of a dead gate are reissued.
const REISSUED: Duration = Duration::from_secs(20);

/// Burst of the workspace whose shares are watched, in tokens.
const BURST: u32 = 3_000;

/// `Booked` is what became of an order: whether a caller was told that it ran.
struct Booked {
    order: String,
    confirmed: bool,
}

/// Asks for completions until told to stop, each repeated at the next gate until it is whole.
async fn ask(caller: &Caller, gates: &[String], n: usize, stop: &AtomicBool) -> usize {
    let mut answered = 0;
    let stream = n.is_multiple_of(2);
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("Menu {n}-{answered}");
        let deadline = Instant::now() + REPEATS;
        let mut gate = n;
        let text = loop {
            let answer = caller.chat(&gates[gate % VMS], &prompt, stream).await;
            if let Some(text) = answer.and_then(|answer| answer.whole(stream)) {
                break text;
            }
            assert!(Instant::now() < deadline, "no answer to {prompt}");
            gate += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(text, expected(&prompt, TOKENS), "{prompt}");
        answered += 1;
    }
    answered
}

/// Books orders until told to stop, each repeated at the next gate until its outcome is final.
async fn book(
    caller: &Caller,
    gates: &[String],
    n: usize,
    stop: &AtomicBool,
    once: bool,
) -> Vec<Booked> {
    let mut booked = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let order = format!("order-{n}-{}", booked.len());
        let deadline = Instant::now() + REPEATS;
        let mut gate = n;
        let confirmed = loop {
            // The naive caller names each repeat anew, as if no key were known.
            let key = if once {
                order.clone()
            } else {
                format!("{order}-{gate}")
            };
            let answer = caller.book_as(&gates[gate % VMS], &order, &key).await;
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
        booked.push(Booked { order, confirmed });
    }
    booked
}

/// Loads the gates, kills the first one meanwhile, and checks what callers were told.
async fn kill_under_load(system: &mut System, once: bool) -> Vec<(String, u64)> {
    let gates: Vec<String> = system.gates.iter().map(|g| g.address.clone()).collect();
    let (lagos, stop) = (system.lagos.clone(), AtomicBool::new(false));
    // Most callers begin at the gate that dies.
    let asking = join_all((0..CALLERS).map(|n| ask(&lagos, &gates, n / 2 * VMS + n % 2, &stop)));
    let booking = join_all((0..CALLERS).map(|n| book(&lagos, &gates, n * VMS, &stop, once)));
    let killing = async {
        tokio::time::sleep(LOAD).await;
        system.gates[0].signal(Signal::SIGKILL);
        tokio::time::sleep(LOAD).await;
        stop.store(true, Ordering::Relaxed);
    };
    let (answered, booked, ()) = futures::join!(asking, booking, killing);
    assert!(
        answered.iter().all(|answered| *answered > 0),
        "{answered:?}"
    );
    let orders = system.orders().await;
    let booked: Vec<Booked> = booked.into_iter().flatten().collect();
    assert!(booked.iter().any(|booked| booked.confirmed));
    for Booked { order, confirmed } in &booked {
        let ran = orders.iter().any(|(name, _)| name == order);
        assert!(ran || !confirmed, "{order} was confirmed and did not run");
    }
    orders
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_gate_doubles_no_order_and_its_shares_are_reissued() {
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
    // More than the survivors' own two thirds of the burst is to be had at one of them.
    let burst = chat("Burst", BURST * 9 / 10, false);
    let deadline = Instant::now() + REISSUED;
    let path = "/v1/chat/completions";
    let mut refused = 0;
    loop {
        let answer = abuja
            .post(&system.gates[1].address, path, &burst)
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
    // The shares of the dead gate are not to be had before it is retired.
    assert!(refused > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_without_their_key_double_orders() {
    let settings = Settings {
        work_ms: 300,
        ..Settings::default()
    };
    let mut system = System::start(settings).await;
    let orders = kill_under_load(&mut system, false).await;
    // The oracle of the test above catches the naive caller.
    assert!(orders.iter().any(|(_, runs)| *runs > 1));
}
