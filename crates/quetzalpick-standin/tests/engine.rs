//! Checks how an engine answers callers and the placement leader, also under injected faults.

mod caller;

use std::time::Duration;

use assert_matches::assert_matches;
use caller::Caller;
use quetzalpick_client::engine::Client;
use quetzalpick_client::errors::Error;
use quetzalpick_client::http::{Pool, Timeouts};
use quetzalpick_client::traits::Engine;
use quetzalpick_client::wire::engine::{Action, Copy, Order, prefix_hash};
use quetzalpick_standin::engine::{Options, Server, token};
use quetzalpick_standin::fault::Fault;
use quetzalpick_standin::platform;

/// Options of an engine without delays, with immediate cache events and 100 MB of memory.
fn instant_options() -> Options {
    Options {
        memory_mb: 100,
        token: Duration::ZERO,
        token_per_running: Duration::ZERO,
        prompt_token: Duration::ZERO,
        event_lag: Duration::ZERO,
        event_gap: 3,
        load: Duration::ZERO,
        adapter_load: Duration::ZERO,
        report_lag: Duration::from_millis(1),
        ..Options::default()
    }
}

/// Builds an order.
fn order(
    fencing: u64,
    action: Action,
    artifact: &str,
    memory_mb: u64,
    base: Option<&str>,
) -> Order {
    Order {
        fencing,
        action,
        copy: Copy {
            artifact: artifact.to_owned(),
            version: 1,
            memory_mb,
        },
        base: base.map(str::to_owned),
    }
}

/// Starts an engine with one model.
async fn start(options: Options) -> Server {
    let server = Server::try_start(options).await.unwrap();
    server.preload(&order(0, Action::Load, "menu", 60, None));
    server
}

/// Builds the body of a chat request.
fn chat(rest: &str) -> String {
    format!(r#"{{"model":"menu","messages":[{{"role":"user","content":"hi"}}]{rest}}}"#)
}

const CHAT: &str = "POST /v1/chat/completions";

#[tokio::test]
async fn callers_session() {
    let server = start(instant_options()).await;
    let mut caller = Caller::new(server.address());
    let c = &mut caller;
    c.send("GET /v1/models", "").await;
    c.send(
        &format!("{CHAT} x-request-id=r1"),
        &chat(r#","max_tokens":3"#),
    )
    .await;
    let text = r#"{"model":"menu","prompt":"hi","max_tokens":2,"stream":true}"#;
    c.send("POST /v1/completions", text).await;
    let stream = r#","max_tokens":3,"stream":true,"stream_options":{"include_usage":true}"#;
    c.send(&format!("{CHAT} x-request-id=r2"), &chat(stream))
        .await;
    // An aborted stream is resumed on this engine, then continued from its text as on another engine.
    server
        .faults()
        .set(Fault::StreamCrash { tokens: 2 }, Some(1));
    c.send(&format!("{CHAT} x-request-id=r3"), &chat(stream))
        .await;
    c.send(
        &format!("{CHAT} x-request-id=r3 x-resume-from=2"),
        &chat(stream),
    )
    .await;
    let generated = token::text("user: hi\n", 0..2);
    let prefix = format!(r#"{stream},"quetzalpick_prefix":"{generated}""#);
    c.send(&format!("{CHAT} x-request-id=r4"), &chat(&prefix))
        .await;
    c.send(
        &format!("{CHAT} x-request-id=r5 x-resume-from=2"),
        &chat(stream),
    )
    .await;
    // Answer of another request, refusals and malformed input.
    server.faults().set(Fault::Crossed, Some(1));
    c.send(
        &format!("{CHAT} x-request-id=r6"),
        &chat(r#","max_tokens":1"#),
    )
    .await;
    c.send(CHAT, &chat("").replace("menu", "other")).await;
    c.send(CHAT, &chat(r#","max_tokens":0"#)).await;
    c.send(CHAT, "{").await;
    c.send("DELETE /v1/requests/nobody", "").await;
    c.send("POST /admin/leaving", r#"{"leaving":true}"#).await;
    c.send(&format!("{CHAT} x-request-id=r7"), &chat("")).await;
    insta::assert_snapshot!(caller.session);
    let record = server.record();
    let executions = record.executions.iter().map(|(id, n)| format!("{id} {n}"));
    let executions: Vec<_> = executions.collect();
    assert_eq!(
        executions,
        ["engine-0 1", "r1 1", "r2 1", "r3 2", "r4 1", "r6 1"]
    );
    assert_eq!((record.resumed, record.bad_prefixes), (1, 0));
}

/// Waits until no load is in progress and returns the loaded artifacts.
async fn loaded_artifacts(server: &Server) -> Vec<String> {
    loop {
        let report = server.report();
        if report.loading.is_empty() {
            return report
                .loaded
                .into_iter()
                .map(|copy| copy.artifact)
                .collect();
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn orders_are_fenced_and_overcommit_is_recorded() {
    let server = start(instant_options()).await;
    let client = Client::new(Pool::default(), Timeouts::default());
    let address = server.address().to_string();
    let send = async |order: Order| client.order(&address, &order).await;
    send(order(5, Action::Load, "kashrut", 10, Some("menu")))
        .await
        .unwrap();
    assert_eq!(loaded_artifacts(&server).await, ["kashrut", "menu"]);
    assert_eq!(server.report().fencing, 5);
    // Repeating an order changes nothing; an older fencing number is refused.
    send(order(5, Action::Load, "kashrut", 10, Some("menu")))
        .await
        .unwrap();
    let old = send(order(4, Action::Unload, "kashrut", 10, Some("menu"))).await;
    assert_matches!(
        old,
        Err(Error::Fenced {
            number: 4,
            newest: 5
        })
    );
    // Orders that cannot be executed are refused and their fencing numbers reported.
    let large = send(order(6, Action::Load, "large", 101, None)).await;
    assert_matches!(large, Err(Error::Refused { status: 422, .. }));
    let base = send(order(7, Action::Load, "orphan", 1, Some("absent"))).await;
    assert_matches!(base, Err(Error::Refused { status: 422, .. }));
    let needed = send(order(8, Action::Unload, "menu", 60, None)).await;
    assert_matches!(needed, Err(Error::Refused { status: 422, .. }));
    assert_eq!(server.report().refused, [6, 7, 8]);
    assert_eq!(server.record().overcommit_count, 0);
    send(order(9, Action::Load, "second", 40, None))
        .await
        .unwrap();
    let record = server.record();
    assert_eq!(record.overcommit_count, 1);
    assert_eq!(
        (
            record.overcommits[0].used_mb,
            record.overcommits[0].memory_mb
        ),
        (110, 100)
    );
    assert_eq!(
        loaded_artifacts(&server).await,
        ["kashrut", "menu", "second"]
    );
    let incarnation = server.report().incarnation;
    server.restart();
    let report = server.report();
    assert_eq!((report.loaded.len(), report.fencing), (0, 0));
    assert_ne!(report.incarnation, incarnation);
}

#[tokio::test]
async fn lost_and_doubled_orders() {
    let unfenced = Options {
        fencing: false,
        ..instant_options()
    };
    let server = start(unfenced).await;
    let client = Client::new(Pool::default(), Timeouts::default());
    let address = server.address().to_string();
    let load = order(1, Action::Load, "second", 10, None);
    let unload = order(2, Action::Unload, "second", 10, None);
    server.faults().set(Fault::OrderLost, Some(1));
    client.order(&address, &load).await.unwrap();
    assert_eq!(loaded_artifacts(&server).await, ["menu"]);
    // The duplicate arrives after the unload; an engine without the fencing check executes it again.
    server
        .faults()
        .set(Fault::OrderDoubled { ms: 1_000 }, Some(1));
    client.order(&address, &load).await.unwrap();
    assert_eq!(loaded_artifacts(&server).await, ["menu", "second"]);
    client.order(&address, &unload).await.unwrap();
    while server.record().orders.len() < 3 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(loaded_artifacts(&server).await, ["menu", "second"]);
    server.faults().set(Fault::AnswerLost, Some(1));
    let lost = client.order(&address, &unload).await.unwrap_err();
    assert!(!lost.verdict().allows_retry(false));
    assert_eq!(loaded_artifacts(&server).await, ["menu"]);
}

#[tokio::test]
async fn weight_fetch_is_retried_until_it_succeeds() {
    let platform = platform::Server::try_start(platform::Options::default())
        .await
        .unwrap();
    let options = Options {
        platform: Some(platform.address()),
        ..instant_options()
    };
    let server = start(options).await;
    let client = Client::new(Pool::default(), Timeouts::default());
    platform.faults().set(Fault::Outage, Some(2));
    let load = order(1, Action::Load, "second", 10, None);
    client
        .order(&server.address().to_string(), &load)
        .await
        .unwrap();
    assert_eq!(server.report().loading[0].artifact, "second");
    assert_eq!(loaded_artifacts(&server).await, ["menu", "second"]);
    assert_eq!(platform.record().models.loads, 1);
}

#[tokio::test]
async fn unload_waits_for_the_running_request_and_admits_no_new_one() {
    let slow = Options {
        token: Duration::from_millis(20),
        ..instant_options()
    };
    let server = start(slow).await;
    let client = Client::new(Pool::default(), Timeouts::default());
    let address = server.address().to_string();
    let mut caller = Caller::new(server.address());
    let running = tokio::spawn(async move {
        caller
            .send(
                &format!("{CHAT} x-request-id=r1"),
                &chat(r#","max_tokens":20"#),
            )
            .await
    });
    while server.record().executed == 0 {
        tokio::task::yield_now().await;
    }
    let unload = order(1, Action::Unload, "menu", 60, None);
    client.order(&address, &unload).await.unwrap();
    // The copy is still in memory, so it is reported as loaded.
    assert_eq!(server.report().loaded.len(), 1);
    let mut other = Caller::new(server.address());
    other.send(CHAT, &chat("")).await;
    assert!(other.session.contains("404 x-not-run=model"));
    let answer = running.await.unwrap();
    assert!(answer.contains(&token::text("user: hi\n", 0..20)));
    assert_eq!(server.report().loaded, []);
}

#[tokio::test]
async fn priority_overload_cancel_and_restart() {
    let one_at_a_time = Options {
        batch: 1,
        waiting: 2,
        token: Duration::from_millis(10),
        stop_after: 100_000,
        ..instant_options()
    };
    let server = start(one_at_a_time).await;
    let address = server.address();
    let send = move |id: &str, rest: &str| {
        let line = format!("{CHAT} x-request-id={id}");
        let body = chat(rest);
        tokio::spawn(async move {
            let mut caller = Caller::new(address);
            caller.send(&line, &body).await;
            caller.session
        })
    };
    let wait_for_load = async |running: u32, waiting: u32| {
        // The report contains sampled load, so poll until a sample matches.
        while (server.report().running, server.report().waiting) != (running, waiting) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let first = send("first", r#","max_tokens":100000"#);
    wait_for_load(1, 0).await;
    let later = send("later x-priority=5", r#","max_tokens":100000"#);
    wait_for_load(1, 1).await;
    let urgent = send("urgent x-priority=0", r#","max_tokens":1"#);
    wait_for_load(1, 2).await;
    let refused = send("refused", "").await.unwrap();
    assert!(refused.contains("429 x-request-id=refused x-not-run=overloaded"));
    // The urgent request overtakes the one queued before it and runs as soon as the first is cancelled.
    let mut admin = Caller::new(address);
    admin.send("DELETE /v1/requests/first", "").await;
    assert!(first.await.unwrap().contains("409"));
    assert!(urgent.await.unwrap().contains("200"));
    while server.record().executed < 3 {
        tokio::task::yield_now().await;
    }
    server.restart();
    assert!(later.await.unwrap().contains("may-have-run"));
}

#[tokio::test]
async fn cache_events_have_gaps_and_cached_tokens_are_reported() {
    let options = Options {
        cache_blocks: 4,
        ..instant_options()
    };
    let server = start(options).await;
    let client = Client::new(Pool::default(), Timeouts::default());
    let mut caller = Caller::new(server.address());
    let prompt = "x".repeat(4 * 256);
    let body = format!(r#"{{"model":"menu","prompt":"{prompt}","max_tokens":1}}"#);
    let first = caller.send("POST /v1/completions", &body).await;
    let second = caller.send("POST /v1/completions", &body).await;
    assert!(first.contains(r#""cached_tokens":0"#));
    assert!(second.contains(r#""cached_tokens":256"#));
    // Another prompt evicts a block, and every third event is omitted.
    let other = r#"{"model":"menu","prompt":"y"}"#.replace('y', &"y".repeat(256));
    caller.send("POST /v1/completions", &other).await;
    let events = client
        .events(&server.address().to_string(), 0)
        .await
        .unwrap();
    let shown = events.events.iter().map(|e| (e.number, e.cached));
    let shown: Vec<_> = shown.collect();
    assert_eq!(shown, [(0, true), (1, true), (3, true), (4, true)]);
    assert_eq!(events.events[1].prefix, prefix_hash(prompt.as_bytes(), 2));
    assert_eq!(events.next, 5);
    let rest = client
        .events(&server.address().to_string(), events.next)
        .await;
    assert_eq!(rest.unwrap().events, []);
}
