//! Callers get each token once and only complete answers to their own requests, although streams break, connections
//! close at any byte, and endpoints send answers that belong to another request (crossed).

use std::time::Duration;

use quetzalpick_standin::engine::{Options, token};
use quetzalpick_standin::fault::Fault;

use crate::client::tokens;
use crate::deployment::{Deployment, LAGOS, quick_engine, quick_gate};
use crate::process::wait_until;

const CHAT: &str = "/v1/chat/completions";
const TOKENS: u32 = 12;

/// Returns the body of a chat request with the prompt, and the answer that engines give to it.
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
async fn delivers_each_token_once_when_streams_break() {
    let deployment = Deployment::with_engines(vec![quick_engine(), quick_engine()]).await;
    let gate = deployment.gate("vm-1").await;
    // The stream breaks after 0 to 11 tokens on the first engine, and possibly on the next one as well.
    for crash in 0..TOKENS {
        for engine in &deployment.engines {
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
    let records: Vec<_> = deployment
        .engines
        .iter()
        .map(|engine| engine.record())
        .collect();
    assert!(records.iter().map(|record| record.resumed).sum::<u64>() > 0);
    assert!(records.iter().all(|record| record.bad_prefixes == 0));
    // Control: without a gate, the broken stream of one engine fails the same comparison.
    deployment.engines[0].faults().clear();
    let crash = Fault::StreamCrash { tokens: 3 };
    deployment.engines[0].faults().set(crash, Some(1));
    let (body, answer) = chat("direct", true);
    let direct = crate::client::Client::new(deployment.engines[0].address());
    let events = direct.stream(LAGOS, body).await.rest().await;
    assert_ne!(tokens(&events).0, answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumes_on_another_engine_when_one_dies() {
    let mut deployment = Deployment::with_engines(vec![slow_engine(), slow_engine()]).await;
    let gate = deployment.gate("vm-1").await;
    let (body, answer) = chat("engine dies", true);
    let mut events = gate.client.stream(LAGOS, body).await;
    let mut received = vec![events.next().await.unwrap(), events.next().await.unwrap()];
    let ran = |index: usize| deployment.engines[index].record().executed > 0;
    let serving = usize::from(!ran(0));
    deployment.engines.remove(serving).stop().await;
    received.extend(events.rest().await);
    let (text, numbers, last) = tokens(&received);
    assert_eq!(text, answer);
    assert_eq!(numbers, (0..u64::from(TOKENS)).collect::<Vec<_>>());
    assert_eq!(last, "data: [DONE]");
    assert_eq!(deployment.engines[0].record().bad_prefixes, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn ends_a_stream_with_one_error_when_no_engine_is_left() {
    let mut deployment = Deployment::with_engines(vec![slow_engine()]).await;
    let gate = deployment.gate("vm-1").await;
    let (body, answer) = chat("all die", true);
    let mut events = gate.client.stream(LAGOS, body).await;
    let mut received = vec![events.next().await.unwrap()];
    deployment.engines.remove(0).stop().await;
    received.extend(events.rest().await);
    let (text, _, last) = tokens(&received);
    assert!(answer.starts_with(&text) && !text.is_empty());
    assert!(
        last.starts_with("event: error\ndata: {\"error\":"),
        "{last}"
    );
    assert!(last.contains("may-have-run"), "{last}");
    assert!(!received.iter().any(|event| event == "data: [DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn delivers_complete_answers_when_connections_close_at_any_byte() {
    let deployment = Deployment::with_engines(vec![quick_engine(), quick_engine()]).await;
    let mut options = quick_gate();
    // The retry budget must not limit this test.
    options.retry.burst = 10_000;
    let gate = deployment.gate_with("vm-1", options).await;
    let (body, _) = chat("probe", false);
    let complete = gate.client.post(CHAT, LAGOS, body).await;
    // The head of an engine's answer is shorter than 300 bytes.
    let max_bytes = complete.body.len() as u64 + 300;
    for bytes in 0..max_bytes {
        for engine in &deployment.engines {
            engine.faults().clear();
        }
        deployment.engines[0]
            .faults()
            .set(Fault::CloseAt { bytes }, Some(1));
        let (body, answer) = chat(&format!("close {bytes}"), false);
        let received = gate.client.post(CHAT, LAGOS, body).await;
        assert_eq!(received.status, 200, "closed at {bytes}: {}", received.body);
        let content = &received.json()["choices"][0]["message"]["content"];
        assert_eq!(content, &answer, "closed at {bytes}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn never_delivers_a_crossed_answer() {
    let deployment = Deployment::with_engines(vec![quick_engine(), quick_engine()]).await;
    let gate = deployment.gate("vm-1").await;
    for stream in [false, true] {
        for round in 0..4 {
            for engine in &deployment.engines {
                engine.faults().clear();
                engine.faults().set(Fault::Crossed, Some(1));
            }
            let (body, answer) = chat(&format!("crossed {stream} {round}"), stream);
            if stream {
                let events = gate.client.stream(LAGOS, body).await.rest().await;
                assert_eq!(tokens(&events).0, answer);
            } else {
                let received = gate.client.post(CHAT, LAGOS, body).await;
                assert_eq!(received.status, 200, "{}", received.body);
                let content = &received.json()["choices"][0]["message"]["content"];
                assert_eq!(content, &answer);
            }
        }
    }
    // Control: without a gate, a crossed answer fails the same comparison.
    let engine = &deployment.engines[0];
    engine.faults().clear();
    engine.faults().set(Fault::Crossed, Some(1));
    let (body, answer) = chat("direct", false);
    let direct = crate::client::Client::new(engine.address());
    let received = direct.post(CHAT, LAGOS, body).await;
    assert_ne!(received.json()["choices"][0]["message"]["content"], answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancels_at_the_engine_when_the_caller_goes_away() {
    let deployment = Deployment::with_engines(vec![slow_engine()]).await;
    let gate = deployment.gate("vm-1").await;
    let (body, _) = chat("caller leaves", true);
    let mut events = gate.client.stream(LAGOS, body).await;
    events.next().await.unwrap();
    drop(events);
    wait_until(|| deployment.engines[0].record().cancelled == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_nothing_to_a_leaving_engine() {
    let deployment = Deployment::with_engines(vec![quick_engine(), quick_engine()]).await;
    let gate = deployment.gate("vm-1").await;
    let send = async |count: u32| {
        for number in 0..count {
            let (body, _) = chat(&format!("leaving {number}"), false);
            assert_eq!(gate.client.post(CHAT, LAGOS, body).await.status, 200);
        }
    };
    // The engine itself refuses because it is leaving: its requests run on the other engine.
    deployment.engines[0].set_leaving(true);
    let before = deployment.engines[0].record().executed;
    send(10).await;
    assert_eq!(deployment.engines[0].record().executed, before);
    deployment.engines[0].set_leaving(false);
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while deployment.engines[0].record().executed == before {
        assert!(tokio::time::Instant::now() < deadline, "gets no work again");
        send(1).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // The VM list marks the engine as leaving, which takes a few polling rounds to take effect.
    deployment.vms.mark_leaving("engine-1");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    loop {
        let before = deployment.engines[1].record().executed;
        send(10).await;
        if deployment.engines[1].record().executed == before {
            break;
        }
        assert!(tokio::time::Instant::now() < deadline, "still gets work");
    }
    let before = deployment.engines[1].record().executed;
    send(20).await;
    assert_eq!(deployment.engines[1].record().executed, before);
    assert!(deployment.engines[0].record().executed >= 10);
}
