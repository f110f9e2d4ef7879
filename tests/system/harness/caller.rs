//! Calls and what their answers have to hold.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;
use quetzalpick_client::http::{Pool, Timeouts};
use quetzalpick_standin::engine::token::text;
use serde_json::{Value, json};

/// Tokens of each answer.
pub(crate) const TOKENS: u32 = 40;

/// Longest wait for an answer, and for each part of it.
const PATIENCE: Duration = Duration::from_secs(10);

/// `Answer` is a whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

/// `Caller` calls with a key over kept connections.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    key: String,
    pool: Pool,
}

impl Caller {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            pool: Pool::default(),
        }
    }

    /// Returns a caller with the same key and no connection yet.
    pub(crate) fn anew(&self) -> Self {
        Self::new(&self.key)
    }

    /// Sends a request and returns the whole answer, `None` if the connection breaks.
    pub(crate) async fn call(
        &self,
        address: &str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<Answer> {
        let mut request = Request::builder().method(method).uri(path);
        request = request.header("authorization", format!("Bearer {}", self.key));
        request = request.header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body))).unwrap();
        let timeouts = Timeouts {
            connect: PATIENCE,
            head: PATIENCE,
            part: PATIENCE,
        };
        let response = self.pool.send(address, request, timeouts).await.ok()?;
        let (head, mut body) = response.into_parts();
        let body = body.collect_up_to(1 << 26).await.ok()?;
        Some(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: String::from_utf8(body.to_vec()).unwrap(),
        })
    }

    /// Posts a body.
    pub(crate) async fn post(&self, address: &str, path: &str, body: &Value) -> Option<Answer> {
        let body = body.to_string();
        self.call(address, Method::POST, path, &[], body).await
    }

    /// Reads a JSON document.
    pub(crate) async fn get(&self, address: &str, path: &str) -> Option<Answer> {
        let body = String::new();
        self.call(address, Method::GET, path, &[], body).await
    }

    /// Asks for a completion.
    pub(crate) async fn chat(&self, gate: &str, prompt: &str, stream: bool) -> Option<Answer> {
        let body = chat(prompt, TOKENS, stream);
        self.post(gate, "/v1/chat/completions", &body).await
    }

    /// Books an order under its own idempotency key.
    pub(crate) async fn book(&self, gate: &str, order: &str) -> Option<Answer> {
        self.book_as(gate, order, order).await
    }

    /// Books an order under an idempotency key.
    pub(crate) async fn book_as(&self, gate: &str, order: &str, key: &str) -> Option<Answer> {
        let path = "/services/bookings/bookings";
        let body = json!({ "order": order }).to_string();
        let headers = [("idempotency-key", key)];
        self.call(gate, Method::POST, path, &headers, body).await
    }
}

impl Answer {
    /// Returns what a refusal says about execution.
    pub(crate) fn verdict(&self) -> &str {
        let verdict = self.headers.get("x-quetzalpick-verdict");
        verdict.map_or("", |verdict| verdict.to_str().unwrap())
    }

    /// Returns the text of a plain answer.
    pub(crate) fn text(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap();
        let content = &body["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    }

    /// Returns the text of a stream, `None` if it has no terminal marker.
    pub(crate) fn streamed(&self) -> Option<String> {
        let mut text = String::new();
        let data = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        for event in data {
            if event == "[DONE]" {
                return Some(text);
            }
            let event: Value = serde_json::from_str(event).ok()?;
            let content = &event["choices"][0]["delta"]["content"];
            text.push_str(content.as_str().unwrap_or_default());
        }
        None
    }

    /// Returns the text in either form, `None` if the answer is no whole one.
    pub(crate) fn whole(&self, stream: bool) -> Option<String> {
        match (self.status, stream) {
            (200, true) => self.streamed(),
            (200, false) => Some(self.text()),
            _ => None,
        }
    }
}

/// Builds the body of a request for a completion.
pub(crate) fn chat(prompt: &str, tokens: u32, stream: bool) -> Value {
    let message = json!({ "role": "user", "content": prompt });
    json!({ "model": "menu", "messages": [message], "max_tokens": tokens, "stream": stream })
}

/// Returns the text that the engines generate for a prompt.
pub(crate) fn expected(prompt: &str, tokens: u32) -> String {
    text(&format!("user: {prompt}\n"), 0..tokens)
}
