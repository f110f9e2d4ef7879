//! Operator sessions: invalid requests change nothing, one of two concurrent changes is accepted, and a repeated
//! command is applied once.

use std::time::Duration;

use quetzalpick_client::memory;
use quetzalpick_core::id::Command;
use quetzalpick_language::Reply;

use crate::environment::{Keeper, TOKEN};

const LINES: &[&str] = &[
    "show workspaces",
    "create workspace lagos rate 500 burst 8000",
    "create workspace lagos rate 500 burst 8000",
    "create workspace abuja rate 500",
    "set workspace lagos burst 9000 if revision 1",
    "set workspace lagos rate 600 if revision 1",
    "set workspace boyaca rate 1",
    "create key planner for lagos digest 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
    "create key planner for lagos digest 0086d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
    "create key other for abuja digest 1186d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
    "show keys of lagos",
    "withdraw key planner",
    "withdraw key planner",
    "create model menu version 1 memory 400",
    "create adapter kashrut on menu version 1 memory 20",
    "create adapter lost on nothing version 1 memory 20",
    "remove model menu",
    "place menu copies 1..2",
    "create service bookings charge 5",
    "route bookings POST /bookings closed once",
    "route bookings * / open idempotent",
    "unroute bookings GET /",
    "create instance desk of bookings at 127.0.0.1:9 domain a",
    "drain endpoint desk",
    "remove service bookings",
    "retire vm vm-9/gate",
    "show leaving",
    "show services",
    "show models",
    "show adapters",
    "show places",
    "show endpoints",
    "show spending",
    "show loaded",
    "show moving",
    "show command 00000000000000000000000000000002",
    "show command 000000000000000000000000000000ff",
    "shoe",
    "remove workspace lagos",
    "show workspaces",
];

#[tokio::test(flavor = "multi_thread")]
async fn operator_session() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let mut transcript = String::new();
    for (number, line) in (1..).zip(LINES) {
        let reply = keeper.send_line(line, Command(0, number)).await;
        let reply = match reply {
            // Offsets vary with the records that the keeper itself appends in between.
            Reply::Accepted {
                command, revision, ..
            } => format!("accepted as revision {revision}, command {command}"),
            other => serde_json::to_string(&other).unwrap(),
        };
        transcript.push_str(&format!("> {line}\n{reply}\n"));
    }
    insta::assert_snapshot!(transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_change_nothing() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let valid_body = r#"{"text": "create workspace lagos rate 1 burst 1"}"#;
    let oversized_body = format!(r#"{{"text": "{}"}}"#, "x".repeat(70_000));
    let cases: [(&str, &str); 7] = [
        ("", valid_body),
        ("a token of nobody", valid_body),
        (TOKEN, ""),
        (TOKEN, r#"{"text": 7}"#),
        (TOKEN, r#"{"text": "show vms", "extra": 1}"#),
        (
            TOKEN,
            r#"{"text": "create workspace lagos rate 1 burst 1", "command": "12"}"#,
        ),
        (TOKEN, &oversized_body),
    ];
    let mut transcript = String::new();
    for (token, body) in cases {
        let (status, answer) = keeper.post(token, body).await;
        transcript.push_str(&format!("{status} {answer}\n"));
    }
    insta::assert_snapshot!(transcript);
    assert_eq!(keeper.replica.read(|state| state.revision().0), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_of_two_concurrent_changes_is_accepted() {
    let log = memory::Log::new();
    let keepers = [
        Keeper::start(&log, "vm-1").await,
        Keeper::start(&log, "vm-2").await,
    ];
    keepers[0]
        .send_accepted(&["create workspace lagos rate 1 burst 1".to_owned()])
        .await;
    keepers[1]
        .wait_until("in force", |state| state.revision().0 == 1)
        .await;
    for round in 0..20 {
        let revision = keepers[0].replica.read(|state| state.revision());
        keepers[1]
            .wait_until("in force", |state| state.revision() == revision)
            .await;
        let set_rate =
            |rate: u64| format!("set workspace lagos rate {rate} if revision {revision}");
        let (first_line, second_line) = (set_rate(2 * round + 10), set_rate(2 * round + 11));
        let (first, second) = tokio::join!(
            keepers[0].send_line(&first_line, Command(1, round)),
            keepers[1].send_line(&second_line, Command(2, round)),
        );
        let accepted = [&first, &second]
            .into_iter()
            .filter(|reply| matches!(reply, Reply::Accepted { .. }))
            .count();
        assert_eq!(accepted, 1, "{first:?} {second:?}");
        // Both keepers apply the accepted change and report the same outcome of the command.
        let accepted_rate = 2 * round
            + if matches!(first, Reply::Accepted { .. }) {
                10
            } else {
                11
            };
        for keeper in &keepers {
            let in_force = |state: &quetzalpick_core::state::State| {
                state
                    .catalog()
                    .workspaces()
                    .values()
                    .any(|(_, spec)| spec.rate == accepted_rate)
            };
            keeper.wait_until("in force", in_force).await;
            let outcome = keeper
                .send_line(
                    &format!("show command {}", Command(1, round)),
                    Command(9, 9),
                )
                .await;
            assert_eq!(
                matches!(outcome, Reply::Accepted { .. }),
                matches!(first, Reply::Accepted { .. })
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_not_refused_because_its_keeper_lags_behind_an_accepted_one() {
    let log = memory::Log::new();
    let keepers = [
        Keeper::start(&log, "vm-1").await,
        Keeper::start(&log, "vm-2").await,
    ];
    let create = "create model menu version 1 memory 400".to_owned();
    keepers[0].send_accepted(&[create]).await;
    let lagging = log.handle("vm-2");
    for round in 1..=10 {
        lagging.set_disconnected(true);
        keepers[0]
            .send_accepted(&[format!("place menu copies 1..{round}")])
            .await;
        lagging.set_disconnected(false);
        keepers[1]
            .send_accepted(&[format!("create workspace lagos-{round} rate 1 burst 1")])
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_command_is_applied_once() {
    let log = memory::Log::new();
    let keepers = [
        Keeper::start(&log, "vm-1").await,
        Keeper::start(&log, "vm-2").await,
    ];
    let line = "create workspace lagos rate 1 burst 1";
    // The answer of the append is lost, and the operator sends the same command through the other keeper too.
    log.drop_answers(1);
    let first = keepers[0].send_line(line, Command(7, 7)).await;
    let second = keepers[1].send_line(line, Command(7, 7)).await;
    assert!(matches!(first, Reply::Accepted { .. }), "{first:?}");
    assert_eq!(first, second);
    assert_eq!(keepers[1].replica.read(|state| state.revision().0), 1);
    // During an outage of the log, the reply is that nothing was sent or that the outcome is unknown.
    log.set_outage(true);
    let reply = keepers[0]
        .send_line("create workspace abuja rate 1 burst 1", Command(8, 8))
        .await;
    assert!(
        matches!(reply, Reply::NotSent { .. } | Reply::Unknown { .. }),
        "{reply:?}"
    );
    log.set_outage(false);
    // The operator retries the same command after the given times until the keeper has detected the log's recovery.
    let mut reply = Reply::NotSent { retry_after_ms: 0 };
    for _ in 0..20 {
        let Reply::NotSent { retry_after_ms } = reply else {
            break;
        };
        tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
        reply = keepers[0]
            .send_line("create workspace abuja rate 1 burst 1", Command(8, 8))
            .await;
    }
    assert!(matches!(reply, Reply::Accepted { .. }), "{reply:?}");
    assert_eq!(keepers[0].replica.read(|state| state.revision().0), 2);
}
