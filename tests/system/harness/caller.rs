//! Requests of callers, and checks of their answers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;
use quetzalpick_client::http::{Pool, Timeouts};
use quetzalpick_standin::engine::token::text;
use serde_json::{Value, json};

/// Tokens generated for each completion.
pub(crate) const TOKENS: u32 = 40;

/// Timeout of connecting, of the head of an answer and of each part of its body.
const TIMEOUT: Duration = Duration::from_secs(10);

/// `Answer` holds a complete HTTP response.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

/// `Caller` sends requests with a key over pooled connections.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    key: String,
    pool: Pool,
}

impl Caller {
    /// Creates a caller without connections.
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            pool: Pool::default(),
        }
    }

    pub(crate) fn key(&self) -> &str {
        &self.key
    }

    /// Returns a caller with the same key and no open connections.
    pub(crate) fn without_connections(&self) -> Self {
        Self::new(&self.key)
    }

    /// Sends a request and returns the complete answer, `None` if the connection breaks or times out.
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
            connect: TIMEOUT,
            head: TIMEOUT,
            body_idle: TIMEOUT,
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

    /// Sends a POST request with a JSON body.
    pub(crate) async fn post(&self, address: &str, path: &str, body: &Value) -> Option<Answer> {
        let body = body.to_string();
        self.call(address, Method::POST, path, &[], body).await
    }

    /// Sends a GET request.
    pub(crate) async fn get(&self, address: &str, path: &str) -> Option<Answer> {
        let body = String::new();
        self.call(address, Method::GET, path, &[], body).await
    }

    /// Requests a completion.
    pub(crate) async fn chat(&self, gate: &str, prompt: &str, stream: bool) -> Option<Answer> {
        let body = chat_body(prompt, TOKENS, stream);
        self.post(gate, "/v1/chat/completions", &body).await
    }

    /// Books an order with its name as the idempotency key.
    pub(crate) async fn book(&self, gate: &str, order: &str) -> Option<Answer> {
        self.book_with_key(gate, order, order).await
    }

    /// Books an order with the given idempotency key.
    pub(crate) async fn book_with_key(&self, gate: &str, order: &str, key: &str) -> Option<Answer> {
        let path = "/services/bookings/bookings";
        let body = json!({ "order": order }).to_string();
        let headers = [("idempotency-key", key)];
        self.call(gate, Method::POST, path, &headers, body).await
    }
}

impl Answer {
    /// Returns the verdict of a refusal: whether the request may have been executed.
    pub(crate) fn verdict(&self) -> &str {
        let verdict = self.headers.get("x-quetzalpick-verdict");
        verdict.map_or("", |verdict| verdict.to_str().unwrap())
    }

    /// Returns the generated text of an answer that is not streamed.
    pub(crate) fn text(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap();
        let content = &body["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    }

    /// Returns the generated text of a streamed answer, `None` if the stream has no terminal marker.
    pub(crate) fn stream_text(&self) -> Option<String> {
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

    /// Returns the generated text, `None` if the request failed or the answer is incomplete.
    pub(crate) fn complete_text(&self, stream: bool) -> Option<String> {
        match (self.status, stream) {
            (200, true) => self.stream_text(),
            (200, false) => Some(self.text()),
            _ => None,
        }
    }
}

/// Builds the body of a completion request.
pub(crate) fn chat_body(prompt: &str, tokens: u32, stream: bool) -> Value {
    let message = json!({ "role": "user", "content": prompt });
    json!({ "model": "menu", "messages": [message], "max_tokens": tokens, "stream": stream })
}

/// Returns the text that the engines generate for a prompt.
pub(crate) fn expected_text(prompt: &str, tokens: u32) -> String {
    text(&format!("user: {prompt}\n"), 0..tokens)
}
