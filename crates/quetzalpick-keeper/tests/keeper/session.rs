//! Whole sessions of operators, bad input and races included.

use std::time::Duration;

use quetzalpick_client::memory;
use quetzalpick_core::id::Command;
use quetzalpick_language::Reply;

use crate::world::{Keeper, TOKEN};

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
async fn a_whole_session() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let mut shown = String::new();
    for (number, line) in (1..).zip(LINES) {
        let reply = keeper.line(line, Command(0, number)).await;
        let reply = match reply {
            // Offsets depend on when the keeper's own records came in between.
            Reply::Accepted {
                command, revision, ..
            } => format!("accepted as revision {revision}, command {command}"),
            other => serde_json::to_string(&other).unwrap(),
        };
        shown.push_str(&format!("> {line}\n{reply}\n"));
    }
    insta::assert_snapshot!(shown);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_change_nothing() {
    let keeper = Keeper::start(&memory::Log::new(), "vm-1").await;
    let line = r#"{"text": "create workspace lagos rate 1 burst 1"}"#;
    let long = format!(r#"{{"text": "{}"}}"#, "x".repeat(70_000));
    let cases: [(&str, &str); 7] = [
        ("", line),
        ("a token of nobody", line),
        (TOKEN, ""),
        (TOKEN, r#"{"text": 7}"#),
        (TOKEN, r#"{"text": "show vms", "extra": 1}"#),
        (
            TOKEN,
            r#"{"text": "create workspace lagos rate 1 burst 1", "command": "12"}"#,
        ),
        (TOKEN, &long),
    ];
    let mut shown = String::new();
    for (token, body) in cases {
        let (status, answer) = keeper.post(token, body).await;
        shown.push_str(&format!("{status} {answer}\n"));
    }
    insta::assert_snapshot!(shown);
    assert_eq!(keeper.replica.read(|state| state.revision().0), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_agree_on_one_winner() {
    let log = memory::Log::new();
    let keepers = [
        Keeper::start(&log, "vm-1").await,
        Keeper::start(&log, "vm-2").await,
    ];
    keepers[0]
        .accept(&["create workspace lagos rate 1 burst 1".to_owned()])
        .await;
    keepers[1]
        .until("in force", |state| state.revision().0 == 1)
        .await;
    for round in 0..20 {
        let revision = keepers[0].replica.read(|state| state.revision());
        keepers[1]
            .until("in force", |state| state.revision() == revision)
            .await;
        let set = |rate: u64| format!("set workspace lagos rate {rate} if revision {revision}");
        let (first, second) = (set(2 * round + 10), set(2 * round + 11));
        let (a, b) = tokio::join!(
            keepers[0].line(&first, Command(1, round)),
            keepers[1].line(&second, Command(2, round)),
        );
        let accepted = [&a, &b]
            .into_iter()
            .filter(|reply| matches!(reply, Reply::Accepted { .. }))
            .count();
        assert_eq!(accepted, 1, "{a:?} {b:?}");
        // The winner is in force at both, and asking for the command tells the same at both.
        let wanted = 2 * round
            + if matches!(a, Reply::Accepted { .. }) {
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
                    .any(|(_, spec)| spec.rate == wanted)
            };
            keeper.until("in force", in_force).await;
            let asked = keeper
                .line(
                    &format!("show command {}", Command(1, round)),
                    Command(9, 9),
                )
                .await;
            assert_eq!(
                matches!(asked, Reply::Accepted { .. }),
                matches!(a, Reply::Accepted { .. })
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_counts_once_however_often_it_is_sent() {
    let log = memory::Log::new();
    let keepers = [
        Keeper::start(&log, "vm-1").await,
        Keeper::start(&log, "vm-2").await,
    ];
    let line = "create workspace lagos rate 1 burst 1";
    // The answer of the append is lost, and the operator sends the same command through the other keeper as well.
    log.drop_answers(1);
    let first = keepers[0].line(line, Command(7, 7)).await;
    let second = keepers[1].line(line, Command(7, 7)).await;
    assert!(matches!(first, Reply::Accepted { .. }), "{first:?}");
    assert_eq!(first, second);
    assert_eq!(keepers[1].replica.read(|state| state.revision().0), 1);
    // While the log is out nothing is changed, and the answer says so or says that it is not known.
    log.set_outage(true);
    let reply = keepers[0]
        .line("create workspace abuja rate 1 burst 1", Command(8, 8))
        .await;
    assert!(
        matches!(reply, Reply::NotSent { .. } | Reply::Unknown { .. }),
        "{reply:?}"
    );
    log.set_outage(false);
    // The operator comes back when told to, with the same command, until the keeper has noticed that the log is back.
    let mut reply = Reply::NotSent { retry_after_ms: 0 };
    for _ in 0..20 {
        let Reply::NotSent { retry_after_ms } = reply else {
            break;
        };
        tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
        reply = keepers[0]
            .line("create workspace abuja rate 1 burst 1", Command(8, 8))
            .await;
    }
    assert!(matches!(reply, Reply::Accepted { .. }), "{reply:?}");
    assert_eq!(keepers[0].replica.read(|state| state.revision().0), 2);
}
