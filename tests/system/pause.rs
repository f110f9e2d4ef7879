//! A gate frozen for longer than its lease.

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;

use crate::harness::{Caller, Settings, System, until};

/// Longer than a lease (5 s) and the time in which a withdrawal is in force (11 s).
const FROZEN: Duration = Duration::from_secs(12);

/// Calls that wait at the frozen gate.
const WAITING: usize = 8;

/// Time in which the waiting calls reach the gate's sockets.
const SENDING: Duration = Duration::from_millis(500);

/// Longest time until the gate serves again.
const BACK: Duration = Duration::from_secs(20);

/// Withdraws a key while the first gate is frozen, and returns how the gate answers calls that wait for it to wake.
///
/// Nobody can tell the gate anything while it answers them, as the log is out and all others are frozen.
async fn withdraw_while_frozen(system: &mut System, frozen: Duration) -> (Caller, Vec<u16>) {
    let intern = Caller::new(&system.key("intern", "lagos").await);
    let gate = system.gates[0].address.clone();
    system.until_served(&gate, &intern, BACK).await;
    system.gates[0].signal(Signal::SIGSTOP);
    // The read that the gate has under way ends with this record, so that none brings it the next one.
    system.change("set workspace lagos rate 200000").await;
    system.change("withdraw key intern").await;
    tokio::time::sleep(frozen).await;
    // These calls lie in the frozen gate's sockets, one on a connection that it knows.
    let calls = join_all((0..WAITING).map(|n| {
        let caller = if n == 0 {
            intern.clone()
        } else {
            intern.anew()
        };
        let gate = gate.clone();
        async move { caller.chat(&gate, &format!("Late {n}"), false).await }
    }));
    let waking = async {
        tokio::time::sleep(SENDING).await;
        system.log_outage(true).await;
        signal_others(system, Signal::SIGSTOP);
        system.gates[0].signal(Signal::SIGCONT);
    };
    let (answers, ()) = futures::join!(calls, waking);
    system.log_outage(false).await;
    signal_others(system, Signal::SIGCONT);
    let told = answers.iter().flatten().map(|answer| answer.status);
    (intern, told.collect())
}

/// Sends a signal to every gate and keeper but the first gate.
fn signal_others(system: &mut System, signal: Signal) {
    let others = system.gates.iter_mut().skip(1);
    for process in others.chain(&mut system.keepers) {
        process.signal(signal);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_gate_refuses_a_withdrawn_key_from_its_first_answer_on() {
    let mut system = System::start(Settings::default()).await;
    let (intern, told) = withdraw_while_frozen(&mut system, FROZEN).await;
    assert_eq!(told.len(), WAITING, "every call is answered");
    assert!(
        told.iter().all(|status| matches!(status, 401 | 503)),
        "{told:?}"
    );
    // The key stays withdrawn while the gate catches up, and once it serves again.
    let gate = &system.gates[0].address;
    until("the gate serves a good key", BACK, async || {
        if let Some(answer) = intern.chat(gate, "Later", false).await {
            assert!(matches!(answer.status, 401 | 503), "{}", answer.body);
        }
        let good = system.lagos.chat(gate, "Good", false).await;
        good.is_some_and(|answer| answer.status == 200)
    })
    .await;
    let answer = intern.chat(gate, "Last", false).await.unwrap();
    assert_eq!(answer.status, 401, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lease_that_outlives_the_pause_serves_a_withdrawn_key() {
    // The naive gate trusts what it knew before the pause, and the oracle of the test above catches it.
    let settings = Settings {
        lease_ms: 60_000,
        ..Settings::default()
    };
    let mut system = System::start(settings).await;
    let (_, told) = withdraw_while_frozen(&mut system, SENDING).await;
    assert!(told.contains(&200), "{told:?}");
}
