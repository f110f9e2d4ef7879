//! Sends one request and classifies its outcome.

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

use crate::run::arrivals::{Arrival, RequestKind};
use crate::run::balancer::Balancer;
use crate::run::expected::{ExpectedAnswer, expected_answer};
use crate::run::scenario::Scenario;
use crate::run::sse::EventDecoder;

/// Header in which gates report whether a request ran.
const VERDICT_HEADER: &str = "x-quetzalpick-verdict";
/// Maximum size of an answer, in bytes.
const ANSWER_MAX_BYTES: usize = 4 << 20;

/// `OutcomeKind` classifies how a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OutcomeKind {
    /// Complete answer that matches the request.
    Answered,
    /// Refused for exceeding the workspace's rate.
    Limited,
    /// Refused for another reason, with a time after which to retry.
    Refused,
    /// Error.
    Failed,
    /// Answer that does not match the request.
    Wrong,
    /// No answer or an incomplete one.
    Broken,
}

/// `Outcome` holds the result and the latencies of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Sequence number of the arrival.
    pub number: u32,
    /// How the request ended.
    #[serde(rename = "end")]
    pub kind: OutcomeKind,
    /// Whether the request ran, as reported to the caller.
    pub verdict: Verdict,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Tokens of the prompt and the complete answer.
    pub tokens: u64,
    /// Time to the first token of a stream, or to the complete answer if it is not streamed, in us.
    pub first_us: u64,
    /// Mean time between the tokens of a stream, in us.
    pub between_us: Option<u64>,
    /// Total time, in us.
    pub total_us: u64,
    /// Description of the error; empty if there was none.
    pub detail: String,
}

/// `PreparedRequest` holds a request and what its answer is checked against.
struct PreparedRequest {
    request: Request,
    expected: Option<ExpectedAnswer>,
    order: Option<String>,
    stream: bool,
}

/// Sends the request of an arrival, reads its answer and returns the outcome.
pub(crate) async fn call(
    pool: &Pool,
    balancer: &Balancer,
    scenario: &Scenario,
    arrival: &Arrival,
) -> Outcome {
    let started = Instant::now();
    let timeout = Duration::from_millis(scenario.timeout_ms);
    let prepared = build_request(scenario, arrival);
    let timeouts = Timeouts {
        head: timeout,
        body_idle: timeout,
        ..Timeouts::default()
    };
    let expected_tokens = prepared
        .expected
        .as_ref()
        .map_or(0, |expected| expected.tokens);
    let answer = send_with_failover(
        pool,
        balancer,
        scenario,
        arrival.gate,
        &prepared.request,
        timeouts,
    )
    .await;
    let mut outcome = Outcome {
        number: arrival.number,
        kind: OutcomeKind::Broken,
        verdict: Verdict::MayHaveRun,
        status: 0,
        tokens: expected_tokens,
        first_us: 0,
        between_us: None,
        total_us: 0,
        detail: String::new(),
    };
    match answer {
        Ok(response) => read_answer(response, &prepared, started, &mut outcome).await,
        Err(error) => {
            outcome.verdict = error.verdict();
            outcome.detail = error.to_string();
        }
    }
    outcome.total_us = elapsed_us(started);
    outcome
}

/// Sends a request to its gate, or to the next one if nothing could be sent, as a load balancer does.
async fn send_with_failover(
    pool: &Pool,
    balancer: &Balancer,
    scenario: &Scenario,
    first_gate: usize,
    request: &Request,
    timeouts: Timeouts,
) -> Result<Response, Error> {
    let gates = balancer.attempt_order(first_gate);
    let mut last_error = None;
    for gate in gates {
        match pool
            .send(&scenario.gates[gate], request.clone(), timeouts)
            .await
        {
            Err(error) if error.verdict() == Verdict::NotRun => {
                balancer.record_failure(gate);
                last_error = Some(Err(error));
            }
            answer => return answer,
        }
    }
    last_error.expect("a scenario names at least one gate")
}

/// Builds the request of an arrival.
fn build_request(scenario: &Scenario, arrival: &Arrival) -> PreparedRequest {
    let key = &scenario.workspaces[arrival.workspace].key;
    let base = http::Request::post("/").header(AUTHORIZATION, format!("Bearer {key}"));
    let base = base.header(CONTENT_TYPE, "application/json");
    match &arrival.kind {
        RequestKind::Chat {
            artifact,
            prompt,
            tokens,
            stream,
        } => {
            let message = json!({ "role": "user", "content": prompt });
            let body = json!({ "model": artifact, "messages": [message], "max_tokens": tokens, "stream": stream });
            let body = Bytes::from(body.to_string());
            let expected = expected_answer(&body, *tokens);
            let request = base.uri("/v1/chat/completions").body(Full::new(body));
            PreparedRequest {
                request: request_or_empty(request),
                expected: Some(expected),
                order: None,
                stream: *stream,
            }
        }
        RequestKind::Booking { order } => {
            let service = scenario.service.as_deref().unwrap_or_default();
            let body = Bytes::from(json!({ "order": order }).to_string());
            let base = base
                .uri(format!("/services/{service}/bookings"))
                .header("idempotency-key", order);
            let request = request_or_empty(base.body(Full::new(body)));
            PreparedRequest {
                request,
                expected: None,
                order: Some(order.clone()),
                stream: false,
            }
        }
    }
}

/// Unwraps a request; names in the scenario can make it invalid, and an empty request is sent then.
fn request_or_empty(request: http::Result<Request>) -> Request {
    request.unwrap_or_else(|_| http::Request::new(Full::default()))
}

/// Reads an answer to its end and classifies it.
async fn read_answer(
    response: Response,
    prepared: &PreparedRequest,
    started: Instant,
    outcome: &mut Outcome,
) {
    let (head, mut body) = response.into_parts();
    outcome.status = head.status.as_u16();
    let reported_verdict = head
        .headers
        .get(VERDICT_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    if !head.status.is_success() {
        outcome.verdict = reported_verdict.unwrap_or(Verdict::MayHaveRun);
        let text = body
            .collect_up_to(ANSWER_MAX_BYTES)
            .await
            .unwrap_or_default();
        outcome.detail = String::from_utf8_lossy(&text).chars().take(200).collect();
        outcome.kind = match outcome.status {
            429 if outcome.detail.contains("rate") => OutcomeKind::Limited,
            _ if head.headers.contains_key(RETRY_AFTER) => OutcomeKind::Refused,
            _ => OutcomeKind::Failed,
        };
        return;
    }
    if prepared.stream {
        read_stream(&mut body, prepared, started, outcome).await;
        return;
    }
    match body.collect_up_to(ANSWER_MAX_BYTES).await {
        Ok(bytes) => {
            outcome.first_us = elapsed_us(started);
            outcome.verdict = Verdict::Ran;
            outcome.kind = if is_expected_answer(&bytes, prepared) {
                OutcomeKind::Answered
            } else {
                OutcomeKind::Wrong
            };
        }
        Err(error) => outcome.detail = error.to_string(),
    }
}

/// Returns whether an answer that is not streamed is the expected one.
fn is_expected_answer(bytes: &[u8], prepared: &PreparedRequest) -> bool {
    let Ok(answer) = serde_json::from_slice::<Value>(bytes) else {
        return false;
    };
    match (&prepared.expected, &prepared.order) {
        (Some(expected), _) => answer["choices"][0]["message"]["content"] == expected.text.as_str(),
        (None, Some(order)) => answer["order"] == order.as_str(),
        (None, None) => false,
    }
}

/// Reads a streamed answer to its end and classifies it; a complete stream contains the `[DONE]` event.
async fn read_stream(
    body: &mut quetzalpick_client::http::Body,
    prepared: &PreparedRequest,
    started: Instant,
    outcome: &mut Outcome,
) {
    let mut decoder = EventDecoder::default();
    let (mut text, mut chunks, mut last_us, mut done) = (String::new(), 0_u64, 0, false);
    while let Some(frame) = body.frame().await {
        let data = match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(error) => {
                outcome.detail = error.to_string();
                return;
            }
        };
        for event in decoder.push(&data) {
            if event == "[DONE]" {
                done = true;
                continue;
            }
            let Ok(event) = serde_json::from_str::<Value>(&event) else {
                continue;
            };
            if !event["error"].is_null() {
                outcome.detail = event["error"].to_string();
                outcome.kind = OutcomeKind::Failed;
                return;
            }
            if let Some(chunk) = event["choices"][0]["delta"]["content"]
                .as_str()
                .filter(|chunk| !chunk.is_empty())
            {
                text.push_str(chunk);
                last_us = elapsed_us(started);
                chunks += 1;
                if chunks == 1 {
                    outcome.first_us = last_us;
                }
            }
        }
    }
    if chunks > 1 {
        outcome.between_us = Some((last_us - outcome.first_us) / (chunks - 1));
    }
    let matches = prepared
        .expected
        .as_ref()
        .is_some_and(|expected| expected.text == text);
    outcome.kind = match (done, matches) {
        (true, true) => OutcomeKind::Answered,
        (true, false) => OutcomeKind::Wrong,
        (false, _) => OutcomeKind::Broken,
    };
    if done {
        outcome.verdict = Verdict::Ran;
    }
}

/// Returns the time elapsed since `since`, in us.
fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
