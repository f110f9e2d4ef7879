//! Snapshots of complete caller sessions, including errors.

use std::time::Duration;

use http::Method;

use crate::client::{Client, redact};
use crate::deployment::{Deployment, LAGOS, PASTO, quick_gate};

/// `Session` records requests and their answers.
struct Session {
    client: Client,
    transcript: String,
}

impl Session {
    /// Sends a request and records it with its answer.
    async fn call(&mut self, method: Method, path: &str, headers: &[(&str, &str)], body: &str) {
        let answer = self.client.call(method.clone(), path, headers, body).await;
        self.transcript.push_str(&format!("> {method} {path}\n"));
        for (name, value) in headers {
            self.transcript.push_str(&format!("> {name}: {value}\n"));
        }
        let shown = if body.len() > 400 { "[long]" } else { body };
        self.transcript
            .push_str(&format!("{shown}\n{}\n", answer.render()));
    }

    /// Posts JSON with a key.
    async fn post(&mut self, path: &str, key: &str, body: &str) {
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        self.call(Method::POST, path, &headers, body).await;
    }
}

const CHAT: &str = "/v1/chat/completions";
const TEXT: &str = "/v1/completions";
const HELLO: &str =
    r#"{"model":"menu","messages":[{"role":"user","content":"Draft a menu"}],"max_tokens":4}"#;

#[tokio::test(flavor = "multi_thread")]
async fn answers_complete_sessions() {
    let deployment = Deployment::start().await;
    let gate = deployment.gate("vm-1").await;
    let mut session = Session {
        client: gate.client.clone(),
        transcript: String::new(),
    };
    let lagos = format!("Bearer {LAGOS}");
    let key = [("authorization", lagos.as_str())];
    session.call(Method::GET, "/v1/models", &key, "").await;
    session.post(CHAT, LAGOS, HELLO).await;
    let adapter = HELLO.replace("menu\"", "menu-kosher\"");
    session.post(CHAT, LAGOS, &adapter).await;
    session
        .post(TEXT, LAGOS, r#"{"model":"menu","prompt":"Butter"}"#)
        .await;
    let named = [
        ("authorization", lagos.as_str()),
        ("x-request-id", "mine-1"),
    ];
    session.call(Method::POST, CHAT, &named, HELLO).await;
    let streamed = HELLO.replace(
        "}]",
        r#"}],"stream":true,"stream_options":{"include_usage":true}"#,
    );
    session.post(CHAT, LAGOS, &streamed).await;
    session
        .call(Method::GET, "/services/orders/availability", &[], "")
        .await;
    let booking = [
        ("authorization", lagos.as_str()),
        ("idempotency-key", "order-7"),
    ];
    let bookings = "/services/orders/bookings";
    for body in [r#"{"order":"7"}"#, r#"{"order":"7"}"#, r#"{"order":"8"}"#] {
        session.call(Method::POST, bookings, &booking, body).await;
    }
    session
        .call(Method::GET, "/services/orders/bookings/7", &key, "")
        .await;
    insta::assert_snapshot!("sessions", session.transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_invalid_input_as_not_run() {
    let deployment = Deployment::start().await;
    let gate = deployment.gate("vm-1").await;
    let mut session = Session {
        client: gate.client.clone(),
        transcript: String::new(),
    };
    session.call(Method::POST, CHAT, &[], HELLO).await;
    session.post(CHAT, "sk-wrong-0123456789", HELLO).await;
    session.post(CHAT, LAGOS, "{\"model\":").await;
    session.post(CHAT, LAGOS, "[]").await;
    session.post(CHAT, LAGOS, r#"{"messages":[]}"#).await;
    for body in [
        r#"{"model":"a b","messages":[]}"#,
        r#"{"model":"menu","messages":[]}"#,
        r#"{"model":"menu","messages":[{"content":"no role"}]}"#,
        r#"{"model":"menu","messages":[{"role":"user","content":"x"}],"max_tokens":0}"#,
        r#"{"model":"menu","messages":[{"role":"user","content":"x"}],"n":2}"#,
        r#"{"model":"menu","messages":[{"role":"user","content":"x"}],"stream":"yes"}"#,
        r#"{"model":"nothing","messages":[{"role":"user","content":"x"}]}"#,
        r#"{"model":"butter","messages":[{"role":"user","content":"x"}]}"#,
        r#"{"model":"menu","messages":[{"role":"user","content":"x"}],"max_tokens":1000000}"#,
    ] {
        session.post(CHAT, LAGOS, body).await;
    }
    // Another workspace's model looks like one that does not exist.
    session
        .post(CHAT, PASTO, &HELLO.replace("menu\"", "menu-kosher\""))
        .await;
    let pasto = format!("Bearer {PASTO}");
    let key = [("authorization", pasto.as_str())];
    session.call(Method::GET, "/v1/models", &key, "").await;
    session.call(Method::GET, CHAT, &key, "").await;
    session.call(Method::GET, "/v2/chat", &key, "").await;
    session
        .call(Method::GET, "/services/none/x", &key, "")
        .await;
    session
        .call(Method::POST, "/services/orders/bookings", &[], "{}")
        .await;
    let long = "x".repeat(300);
    let bad = [
        ("authorization", pasto.as_str()),
        ("idempotency-key", &long),
    ];
    session
        .call(Method::POST, "/services/orders/bookings", &bad, "{}")
        .await;
    let huge = format!(r#"{{"model":"menu","prompt":"{}"}}"#, "x".repeat(5 << 20));
    session.post(TEXT, LAGOS, &huge).await;
    // A large body with a wrong key is refused before it is read, and the refusal still reaches the caller.
    session.post(TEXT, "sk-wrong-0123456789", &huge).await;
    // Encoded `..` segments do not lead from the open route to closed ones.
    let path = "/services/orders/availability/%2e%2e/bookings/7";
    session.call(Method::GET, path, &[], "").await;
    assert_eq!(deployment.engines[0].record().executed, 0);
    assert_eq!(deployment.service.record().executions, Vec::new());
    insta::assert_snapshot!("refusals", session.transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn survives_malformed_requests() {
    let deployment = Deployment::start().await;
    let mut options = quick_gate();
    options.body_timeout = Duration::from_millis(300);
    let gate = deployment.gate_with("vm-1", options).await;
    let client = &gate.client;
    let long = "x".repeat(200_000);
    let head = format!("GET / HTTP/1.1\r\nhost: x\r\nlong: {long}\r\n\r\n");
    let slow_head = client
        .exchange_raw(b"POST /v1/chat/completions HTTP/1.1\r\nhost")
        .await;
    let garbage = client.exchange_raw(b"\x16\x03\x01 garbage\r\n\r\n").await;
    let oversized = client.exchange_raw(head.as_bytes()).await;
    let slow_body = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {LAGOS}\r\ncontent-length: 90\r\n\r\n{{"
    );
    let slow_body = client.exchange_raw(slow_body.as_bytes()).await;
    let first = |text: &str| redact(text.lines().next().unwrap_or("[closed]"));
    let answers = [slow_head, slow_body, garbage, oversized];
    let first_lines = answers.map(|answer| first(&answer));
    insta::assert_debug_snapshot!("broken", first_lines);
    assert_eq!(client.post(CHAT, LAGOS, HELLO).await.status, 200);
}
