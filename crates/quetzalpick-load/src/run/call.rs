//! One request and what became of it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use serde_json::{Value, json};
use strum::{Display, IntoStaticStr};

use quetzalpick_client::errors::Error;
use quetzalpick_client::http::{Pool, Request, Response, Timeouts};
use quetzalpick_core::verdict::Verdict;

use crate::run::arrivals::{Arrival, Kind};
use crate::run::balancer::Balancer;
use crate::run::expected::{Expected, expected};
use crate::run::scenario::Scenario;
use crate::run::sse::Lines;

/// Header in which gates say whether a request ran.
const VERDICT: &str = "x-quetzalpick-verdict";
/// Largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 4 << 20;

/// `End` is how a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// With a whole answer, its own.
    Answered,
    /// With a refusal for exceeding the workspace's rate.
    Limited,
    /// With another refusal that says when to come back.
    Refused,
    /// With an error.
    Failed,
    /// With an answer that is not the one to this request.
    Wrong,
    /// Without an answer or with a broken one.
    Broken,
}

/// `Outcome` is what became of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Number of the arrival.
    pub number: u32,
    /// How it ended.
    pub end: End,
    /// Whether the request ran, as far as the caller was told.
    pub verdict: Verdict,
    /// HTTP status, 0 without an answer.
    pub status: u16,
    /// Tokens of prompt and whole answer.
    pub tokens: u64,
    /// Time to the first token of a stream, or to the whole of a plain answer, in us.
    pub first_us: u64,
    /// Mean time between the tokens of a stream, in us.
    pub between_us: Option<u64>,
    /// Time to the end, in us.
    pub total_us: u64,
    /// What was wrong.
    pub detail: String,
}

/// `Sent` is a request with what is expected of its answer.
struct Sent {
    request: Request,
    expected: Option<Expected>,
    order: Option<String>,
    stream: bool,
}

/// Sends the request of an arrival and awaits its end.
pub(crate) async fn call(
    pool: &Pool,
    balancer: &Balancer,
    scenario: &Scenario,
    arrival: &Arrival,
) -> Outcome {
    let started = Instant::now();
    let patience = Duration::from_millis(scenario.patience_ms);
    let sent = build(scenario, arrival);
    let timeouts = Timeouts {
        head: patience,
        part: patience,
        ..Timeouts::default()
    };
    let expected_tokens = sent.expected.as_ref().map_or(0, |expected| expected.tokens);
    let answer = send(
        pool,
        balancer,
        scenario,
        arrival.gate,
        &sent.request,
        timeouts,
    )
    .await;
    let mut outcome = Outcome {
        number: arrival.number,
        end: End::Broken,
        verdict: Verdict::MayHaveRun,
        status: 0,
        tokens: expected_tokens,
        first_us: 0,
        between_us: None,
        total_us: 0,
        detail: String::new(),
    };
    match answer {
        Ok(response) => read(response, &sent, started, &mut outcome).await,
        Err(error) => {
            outcome.verdict = error.verdict();
            outcome.detail = error.to_string();
        }
    }
    outcome.total_us = micros(started);
    outcome
}

/// Sends a request to its gate, or to the next one if nothing could be sent, as a balancer does.
async fn send(
    pool: &Pool,
    balancer: &Balancer,
    scenario: &Scenario,
    first: usize,
    request: &Request,
    timeouts: Timeouts,
) -> Result<Response, Error> {
    let gates = balancer.order(first);
    let mut failure = None;
    for gate in gates {
        match pool
            .send(&scenario.gates[gate], request.clone(), timeouts)
            .await
        {
            Err(error) if error.verdict() == Verdict::NotRun => {
                balancer.failed(gate);
                failure = Some(Err(error));
            }
            answer => return answer,
        }
    }
    // A scenario names at least one gate.
    failure.expect("a gate was tried")
}

/// Builds the request of an arrival.
fn build(scenario: &Scenario, arrival: &Arrival) -> Sent {
    let key = &scenario.workspaces[arrival.workspace].key;
    let base = http::Request::post("/").header(AUTHORIZATION, format!("Bearer {key}"));
    let base = base.header(CONTENT_TYPE, "application/json");
    match &arrival.kind {
        Kind::Chat {
            artifact,
            prompt,
            tokens,
            stream,
        } => {
            let message = json!({ "role": "user", "content": prompt });
            let body = json!({ "model": artifact, "messages": [message], "max_tokens": tokens, "stream": stream });
            let body = Bytes::from(body.to_string());
            let expected = expected(&body, *tokens);
            let request = base.uri("/v1/chat/completions").body(Full::new(body));
            Sent {
                request: whole(request),
                expected: Some(expected),
                order: None,
                stream: *stream,
            }
        }
        Kind::Booking { order } => {
            let service = scenario.service.as_deref().unwrap_or_default();
            let body = Bytes::from(json!({ "order": order }).to_string());
            let base = base
                .uri(format!("/services/{service}/bookings"))
                .header("idempotency-key", order);
            let request = whole(base.body(Full::new(body)));
            Sent {
                request,
                expected: None,
                order: Some(order.clone()),
                stream: false,
            }
        }
    }
}

/// Unwraps a request whose parts are all known to be valid but for the scenario's names.
fn whole(request: http::Result<Request>) -> Request {
    request.unwrap_or_else(|_| http::Request::new(Full::default()))
}

/// Reads an answer to its end and judges it.
async fn read(response: Response, sent: &Sent, started: Instant, outcome: &mut Outcome) {
    let (head, mut body) = response.into_parts();
    outcome.status = head.status.as_u16();
    let told = head
        .headers
        .get(VERDICT)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    if !head.status.is_success() {
        outcome.verdict = told.unwrap_or(Verdict::MayHaveRun);
        let text = body
            .collect_up_to(ANSWER_MAX_BYTES)
            .await
            .unwrap_or_default();
        outcome.detail = String::from_utf8_lossy(&text).chars().take(200).collect();
        outcome.end = match outcome.status {
            429 if outcome.detail.contains("rate") => End::Limited,
            _ if head.headers.contains_key(RETRY_AFTER) => End::Refused,
            _ => End::Failed,
        };
        return;
    }
    if sent.stream {
        read_stream(&mut body, sent, started, outcome).await;
        return;
    }
    match body.collect_up_to(ANSWER_MAX_BYTES).await {
        Ok(bytes) => {
            outcome.first_us = micros(started);
            outcome.verdict = Verdict::Ran;
            outcome.end = if is_own(&bytes, sent) {
                End::Answered
            } else {
                End::Wrong
            };
        }
        Err(error) => outcome.detail = error.to_string(),
    }
}

/// Tells whether a plain answer is the whole answer to its request.
fn is_own(bytes: &[u8], sent: &Sent) -> bool {
    let Ok(answer) = serde_json::from_slice::<Value>(bytes) else {
        return false;
    };
    match (&sent.expected, &sent.order) {
        (Some(expected), _) => answer["choices"][0]["message"]["content"] == expected.text.as_str(),
        (None, Some(order)) => answer["order"] == order.as_str(),
        (None, None) => false,
    }
}

/// Reads a stream to its terminal marker and judges it.
async fn read_stream(
    body: &mut quetzalpick_client::http::Body,
    sent: &Sent,
    started: Instant,
    outcome: &mut Outcome,
) {
    let mut lines = Lines::default();
    let (mut text, mut pieces, mut last_us, mut done) = (String::new(), 0_u64, 0, false);
    while let Some(frame) = body.frame().await {
        let data = match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(error) => {
                outcome.detail = error.to_string();
                return;
            }
        };
        for event in lines.push(&data) {
            if event == "[DONE]" {
                done = true;
                continue;
            }
            let Ok(event) = serde_json::from_str::<Value>(&event) else {
                continue;
            };
            if !event["error"].is_null() {
                outcome.detail = event["error"].to_string();
                outcome.end = End::Failed;
                return;
            }
            if let Some(piece) = event["choices"][0]["delta"]["content"]
                .as_str()
                .filter(|piece| !piece.is_empty())
            {
                text.push_str(piece);
                last_us = micros(started);
                pieces += 1;
                if pieces == 1 {
                    outcome.first_us = last_us;
                }
            }
        }
    }
    if pieces > 1 {
        outcome.between_us = Some((last_us - outcome.first_us) / (pieces - 1));
    }
    let own = sent
        .expected
        .as_ref()
        .is_some_and(|expected| expected.text == text);
    outcome.end = match (done, own) {
        (true, true) => End::Answered,
        (true, false) => End::Wrong,
        (false, _) => End::Broken,
    };
    if done {
        outcome.verdict = Verdict::Ran;
    }
}

/// Returns the time since a moment, in us.
fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
