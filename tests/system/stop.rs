//! A planned stop under load.

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;

use crate::harness::{Settings, System, TOKENS, expected, until};

/// Calls under way, half of them streams.
const CALLS: usize = 12;

/// Longest time of a planned stop.
const STOPPED: Duration = Duration::from_secs(20);

/// Starts calls at the first gate, sends it a signal once the engines run them all, and returns how many were whole.
async fn whole_after(system: &mut System, signal: Signal) -> usize {
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
            Some(answer.whole(stream)? == expected(&prompt, TOKENS))
        }
    }));
    let stopping = async {
        until("all calls run", STOPPED, async || {
            executed(system).await >= before + CALLS as u64
        })
        .await;
        system.gates[0].signal(signal);
    };
    let (answers, ()) = futures::join!(calls, stopping);
    answers.iter().filter(|whole| **whole == Some(true)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_call_and_the_others_serve_on() {
    let settings = Settings {
        token_us: 30_000,
        ..Settings::default()
    };
    let mut system = System::start(settings).await;
    assert_eq!(whole_after(&mut system, Signal::SIGTERM).await, CALLS);
    assert_eq!(system.gates[0].end(STOPPED).await.code(), Some(0));
    // The gates that stay serve everything.
    system.gates.remove(0);
    for gate in &system.gates {
        let answer = system.lagos.chat(&gate.address, "After", true).await;
        assert_eq!(answer.unwrap().whole(true), Some(expected("After", TOKENS)));
        let booked = system.lagos.book(&gate.address, &gate.name).await;
        assert_eq!(booked.unwrap().status, 201);
    }
    // The oracle catches the naive stop, which ends the process at once.
    assert!(whole_after(&mut system, Signal::SIGKILL).await < CALLS);
}
