//! Streams that break, and answers that are closed anywhere or crossed.

use std::time::Duration;

use quetzalpick_standin::engine::{Options, token};
use quetzalpick_standin::fault::Fault;

use crate::client::tokens;
use crate::process::until;
use crate::world::{LAGOS, World, quick_engine, quick_gate};

const CHAT: &str = "/v1/chat/completions";
const TOKENS: u32 = 12;

/// Returns the body of a chat with a prompt of its own, and the answer that engines give to it.
fn chat(prompt: &str, stream: bool) -> (String, String) {
    let body = format!(
        r#"{{"model":"menu","messages":[{{"role":"user","content":"{prompt}"}}],"max_tokens":{TOKENS},"stream":{stream}}}"#
    );
    let answer = token::text(&format!("user: {prompt}\n"), 0..TOKENS);
    (body, answer)
}

fn slow_engine() -> Options {
    Options {
        token: Duration::from_millis(20),
        ..quick_engine()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn gives_each_token_once_when_streams_break() {
    let world = World::with_engines(vec![quick_engine(), quick_engine()]).await;
    let gate = world.gate("vm-1").await;
    // The stream breaks after 0 to 11 tokens on the engine that begins it, and perhaps on the next as well.
    for crash in 0..TOKENS {
        for engine in &world.engines {
            engine.faults().clear();
            engine
                .faults()
                .set(Fault::StreamCrash { tokens: crash }, Some(1));
        }
        let (body, answer) = chat(&format!("break {crash}"), true);
        let events = gate.client.stream(LAGOS, body).await.rest().await;
        let (text, numbers, last) = tokens(&events);
        assert_eq!(text, answer, "broken after {crash}");
        assert_eq!(numbers, (0..u64::from(TOKENS)).collect::<Vec<_>>());
        assert_eq!(last, "data: [DONE]");
    }
    let records: Vec<_> = world.engines.iter().map(|engine| engine.record()).collect();
    assert!(records.iter().map(|record| record.resumed).sum::<u64>() > 0);
    assert!(records.iter().all(|record| record.bad_prefixes == 0));
    // The naive version, which passes on what one engine sends, is caught by the same comparison.
    world.engines[0].faults().clear();
    let crash = Fault::StreamCrash { tokens: 3 };
    world.engines[0].faults().set(crash, Some(1));
    let (body, answer) = chat("naive", true);
    let naive = crate::client::Client::new(world.engines[0].address());
    let events = naive.stream(LAGOS, body).await.rest().await;
    assert_ne!(tokens(&events).0, answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn continues_elsewhere_when_an_engine_dies() {
    let mut world = World::with_engines(vec![slow_engine(), slow_engine()]).await;
    let gate = world.gate("vm-1").await;
    let (body, answer) = chat("engine dies", true);
    let mut events = gate.client.stream(LAGOS, body).await;
    let mut got = vec![events.next().await.unwrap(), events.next().await.unwrap()];
    let ran = |at: usize| world.engines[at].record().executed > 0;
    let serving = usize::from(!ran(0));
    world.engines.remove(serving).stop().await;
    got.extend(events.rest().await);
    let (text, numbers, last) = tokens(&got);
    assert_eq!(text, answer);
    assert_eq!(numbers, (0..u64::from(TOKENS)).collect::<Vec<_>>());
    assert_eq!(last, "data: [DONE]");
    assert_eq!(world.engines[0].record().bad_prefixes, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn ends_a_stream_with_one_error_when_nothing_is_left() {
    let mut world = World::with_engines(vec![slow_engine()]).await;
    let gate = world.gate("vm-1").await;
    let (body, answer) = chat("all die", true);
    let mut events = gate.client.stream(LAGOS, body).await;
    let mut got = vec![events.next().await.unwrap()];
    world.engines.remove(0).stop().await;
    got.extend(events.rest().await);
    let (text, _, last) = tokens(&got);
    assert!(answer.starts_with(&text) && !text.is_empty());
    assert!(
        last.starts_with("event: error\ndata: {\"error\":"),
        "{last}"
    );
    assert!(last.contains("may-have-run"), "{last}");
    assert!(!got.iter().any(|event| event == "data: [DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn delivers_whole_answers_wherever_they_are_closed() {
    let world = World::with_engines(vec![quick_engine(), quick_engine()]).await;
    let mut options = quick_gate();
    // The budget is not what is tested here.
    options.retry.burst = 10_000;
    let gate = world.gate_with("vm-1", options).await;
    let (body, _) = chat("probe", false);
    let whole = gate.client.post(CHAT, LAGOS, body).await;
    // The head of an engine's answer is shorter than 300 bytes.
    let most = whole.body.len() as u64 + 300;
    for bytes in 0..most {
        for engine in &world.engines {
            engine.faults().clear();
        }
        world.engines[0]
            .faults()
            .set(Fault::CloseAt { bytes }, Some(1));
        let (body, answer) = chat(&format!("close {bytes}"), false);
        let got = gate.client.post(CHAT, LAGOS, body).await;
        assert_eq!(got.status, 200, "closed at {bytes}: {}", got.body);
        let content = &got.json()["choices"][0]["message"]["content"];
        assert_eq!(content, &answer, "closed at {bytes}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn never_delivers_a_crossed_answer() {
    let world = World::with_engines(vec![quick_engine(), quick_engine()]).await;
    let gate = world.gate("vm-1").await;
    for stream in [false, true] {
        for round in 0..4 {
            for engine in &world.engines {
                engine.faults().clear();
                engine.faults().set(Fault::Crossed, Some(1));
            }
            let (body, answer) = chat(&format!("crossed {stream} {round}"), stream);
            if stream {
                let events = gate.client.stream(LAGOS, body).await.rest().await;
                assert_eq!(tokens(&events).0, answer);
            } else {
                let got = gate.client.post(CHAT, LAGOS, body).await;
                assert_eq!(got.status, 200, "{}", got.body);
                let content = &got.json()["choices"][0]["message"]["content"];
                assert_eq!(content, &answer);
            }
        }
    }
    // The naive version, which takes whatever comes back, is caught by the same comparison.
    let engine = &world.engines[0];
    engine.faults().clear();
    engine.faults().set(Fault::Crossed, Some(1));
    let (body, answer) = chat("naive", false);
    let naive = crate::client::Client::new(engine.address());
    let got = naive.post(CHAT, LAGOS, body).await;
    assert_ne!(got.json()["choices"][0]["message"]["content"], answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancels_at_the_engine_when_the_caller_goes_away() {
    let world = World::with_engines(vec![slow_engine()]).await;
    let gate = world.gate("vm-1").await;
    let (body, _) = chat("caller leaves", true);
    let mut events = gate.client.stream(LAGOS, body).await;
    events.next().await.unwrap();
    drop(events);
    until(|| world.engines[0].record().cancelled == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_nothing_to_a_leaving_engine() {
    let world = World::with_engines(vec![quick_engine(), quick_engine()]).await;
    let gate = world.gate("vm-1").await;
    let send = async |count: u32| {
        for at in 0..count {
            let (body, _) = chat(&format!("leaving {at}"), false);
            assert_eq!(gate.client.post(CHAT, LAGOS, body).await.status, 200);
        }
    };
    // By its own answer: what it refuses runs elsewhere.
    world.engines[0].set_leaving(true);
    let before = world.engines[0].record().executed;
    send(10).await;
    assert_eq!(world.engines[0].record().executed, before);
    world.engines[0].set_leaving(false);
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while world.engines[0].record().executed == before {
        assert!(tokio::time::Instant::now() < deadline, "gets no work again");
        send(1).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // By the VM list, which takes a few rounds of polling.
    world.vms.leave("engine-1");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    loop {
        let before = world.engines[1].record().executed;
        send(10).await;
        if world.engines[1].record().executed == before {
            break;
        }
        assert!(tokio::time::Instant::now() < deadline, "still gets work");
    }
    let before = world.engines[1].record().executed;
    send(20).await;
    assert_eq!(world.engines[1].record().executed, before);
    assert!(world.engines[0].record().executed >= 10);
}
