//! Tests of a gate that is frozen for longer than its lease.

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;

use crate::harness::{Caller, Settings, System, wait_until};

/// Duration of the freeze; it is longer than a lease (5 s) and the time until a withdrawal is in force (11 s).
const FREEZE: Duration = Duration::from_secs(12);

/// Number of calls sent to the frozen gate.
const CALLS: usize = 8;

/// Time in which the calls reach the sockets of the frozen gate.
const SEND_TIME: Duration = Duration::from_millis(500);

/// Maximum time until the gate serves again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Withdraws a key while the first gate is frozen, and returns the key's caller and the status codes of calls that were
/// sent to the frozen gate.
///
/// The gate receives no updates while it answers them, because the log is unavailable and all other processes are
/// frozen.
async fn withdraw_while_frozen(system: &mut System, frozen: Duration) -> (Caller, Vec<u16>) {
    let intern = Caller::new(&system.key("intern", "lagos").await);
    let gate = system.gates[0].address.clone();
    system
        .wait_until_served(&gate, &intern, RECOVERY_TIMEOUT)
        .await;
    system.gates[0].signal(Signal::SIGSTOP);
    // This record completes the gate's pending read of the log, so that no pending read delivers the withdrawal.
    system.change("set workspace lagos rate 200000").await;
    system.change("withdraw key intern").await;
    tokio::time::sleep(frozen).await;
    // These calls wait in the sockets of the frozen gate, one of them on an existing connection.
    let calls = join_all((0..CALLS).map(|n| {
        let caller = if n == 0 {
            intern.clone()
        } else {
            intern.without_connections()
        };
        let gate = gate.clone();
        async move { caller.chat(&gate, &format!("Late {n}"), false).await }
    }));
    let resume = async {
        tokio::time::sleep(SEND_TIME).await;
        system.set_log_outage(true).await;
        signal_others(system, Signal::SIGSTOP);
        system.gates[0].signal(Signal::SIGCONT);
    };
    let (answers, ()) = futures::join!(calls, resume);
    system.set_log_outage(false).await;
    signal_others(system, Signal::SIGCONT);
    let statuses = answers.iter().flatten().map(|answer| answer.status);
    (intern, statuses.collect())
}

/// Sends a signal to all gates and keepers except the first gate.
fn signal_others(system: &mut System, signal: Signal) {
    let others = system.gates.iter_mut().skip(1);
    for process in others.chain(&mut system.keepers) {
        process.signal(signal);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_gate_rejects_withdrawn_key_from_its_first_answer() {
    let mut system = System::start(Settings::default()).await;
    let (intern, statuses) = withdraw_while_frozen(&mut system, FREEZE).await;
    assert_eq!(statuses.len(), CALLS, "every call is answered");
    assert!(
        statuses.iter().all(|status| matches!(status, 401 | 503)),
        "{statuses:?}"
    );
    // The key stays withdrawn while the gate catches up, and once it serves again.
    let gate = &system.gates[0].address;
    wait_until("the gate serves a good key", RECOVERY_TIMEOUT, async || {
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
async fn resumed_gate_with_valid_lease_accepts_withdrawn_key() {
    // Control for the test above: with a lease that outlasts the freeze, the gate uses its state from before the freeze.
    let settings = Settings {
        lease_ms: 60_000,
        ..Settings::default()
    };
    let mut system = System::start(settings).await;
    let (_, statuses) = withdraw_while_frozen(&mut system, SEND_TIME).await;
    assert!(statuses.contains(&200), "{statuses:?}");
}
