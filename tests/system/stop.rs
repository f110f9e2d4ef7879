//! Tests of stopping a gate under load.

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;

use crate::harness::{Settings, System, TOKENS, expected_text, wait_until};

/// Number of concurrent calls, half of which are streams.
const CALLS: usize = 12;

/// Maximum duration of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts calls at the first gate, sends it a signal once the engines run them all, and returns how many got a complete
/// answer.
async fn count_completed_after_signal(system: &mut System, signal: Signal) -> usize {
    let (gate, lagos) = (system.gates[0].address.clone(), system.lagos.clone());
    let executed = async |system: &System| {
        let mut executed = 0;
        for engine in &system.engines {
            executed += system.record(engine).await["executed"].as_u64().unwrap();
        }
        executed
    };
    let before = executed(system).await;
    let calls = join_all((0..CALLS).map(|n| {
        let (lagos, gate) = (lagos.clone(), gate.clone());
        async move {
            let (prompt, stream) = (format!("Stop {n}"), n % 2 == 0);
            let answer = lagos.chat(&gate, &prompt, stream).await?;
            Some(answer.complete_text(stream)? == expected_text(&prompt, TOKENS))
        }
    }));
    let stop = async {
        wait_until("all calls run", STOP_TIMEOUT, async || {
            executed(system).await >= before + CALLS as u64
        })
        .await;
        system.gates[0].signal(signal);
    };
    let (answers, ()) = futures::join!(calls, stop);
    answers
        .iter()
        .filter(|complete| **complete == Some(true))
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_completes_calls_and_other_gates_keep_serving() {
    let settings = Settings {
        token_us: 30_000,
        ..Settings::default()
    };
    let mut system = System::start(settings).await;
    assert_eq!(
        count_completed_after_signal(&mut system, Signal::SIGTERM).await,
        CALLS
    );
    assert_eq!(
        system.gates[0].wait_for_exit(STOP_TIMEOUT).await.code(),
        Some(0)
    );
    // The remaining gates serve all requests.
    system.gates.remove(0);
    for gate in &system.gates {
        let answer = system.lagos.chat(&gate.address, "After", true).await;
        assert_eq!(
            answer.unwrap().complete_text(true),
            Some(expected_text("After", TOKENS))
        );
        let booked = system.lagos.book(&gate.address, &gate.name).await;
        assert_eq!(booked.unwrap().status, 201);
    }
    // Control: a stop that kills the process immediately must interrupt calls.
    assert!(count_completed_after_signal(&mut system, Signal::SIGKILL).await < CALLS);
}
