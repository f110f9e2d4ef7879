//! HTTP client with which the tests call gates and engines.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use quetzalpick_client::http::{Body, Options, Pool, Timeouts};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Headers of answers that the session snapshots contain.
const SHOWN_HEADERS: [&str; 6] = [
    "content-type",
    "retry-after",
    "retry-after-ms",
    "x-quetzalpick-verdict",
    "x-request-id",
    "idempotency-replayed",
];

/// Idle timeout of connections, well below the 2 s after which the gates under test close theirs.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// `Client` calls one address over keep-alive connections.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) address: SocketAddr,
    pool: Pool,
}

/// `Answer` holds a complete answer.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

/// `RawConnection` holds a connection on which raw bytes were sent.
pub(crate) struct RawConnection {
    stream: TcpStream,
}

/// `Events` reads the events of a running stream.
pub(crate) struct Events {
    body: Body,
    pending: String,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let pool = Pool::new(Options {
            idle_timeout: IDLE_TIMEOUT,
            ..Options::default()
        });
        Self { address, pool }
    }

    /// Sends a request and returns the head of the answer.
    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<http::Response<Body>, quetzalpick_client::errors::Error> {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body))).unwrap();
        let timeouts = Timeouts {
            connect: Duration::from_secs(5),
            head: Duration::from_secs(30),
            body_idle: Duration::from_secs(30),
        };
        let address = self.address.to_string();
        self.pool.send(&address, request, timeouts).await
    }

    /// Sends a request and returns the complete answer, `None` if there is none.
    pub(crate) async fn try_call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<String>,
    ) -> Option<Answer> {
        let response = self.send(method, path, headers, body.into()).await.ok()?;
        let (head, mut body) = response.into_parts();
        let body = body.collect_up_to(1 << 24).await.ok()?;
        Some(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends a request and returns the complete answer.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<String>,
    ) -> Answer {
        self.try_call(method, path, headers, body).await.unwrap()
    }

    pub(crate) async fn get(&self, path: &str, headers: &[(&str, &str)]) -> Answer {
        self.call(Method::GET, path, headers, "").await
    }

    /// Posts JSON with a key and returns the complete answer.
    pub(crate) async fn post(&self, path: &str, key: &str, body: impl Into<String>) -> Answer {
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        self.call(Method::POST, path, &headers, body).await
    }

    /// Books an order with an idempotency key; `None` if the connection fails.
    pub(crate) async fn book(&self, key: &str, order: &str, idempotency: &str) -> Option<Answer> {
        let bearer = format!("Bearer {key}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", idempotency),
            ("content-type", "application/json"),
        ];
        let body = format!(r#"{{"order":"{order}"}}"#);
        let path = "/services/orders/bookings";
        self.try_call(Method::POST, path, &headers, body).await
    }

    /// Starts a stream.
    pub(crate) async fn stream(&self, key: &str, body: impl Into<String>) -> Events {
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        let path = "/v1/chat/completions";
        let response = self
            .send(Method::POST, path, &headers, body.into())
            .await
            .unwrap();
        assert_eq!(response.status(), 200);
        Events {
            body: response.into_body(),
            pending: String::new(),
        }
    }

    /// Sends raw bytes and returns everything received until the connection is closed.
    pub(crate) async fn exchange_raw(&self, bytes: &[u8]) -> String {
        self.send_raw(bytes).await.rest().await
    }

    /// Sends raw bytes over a new connection; all of them are written once this returns.
    pub(crate) async fn send_raw(&self, bytes: &[u8]) -> RawConnection {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        RawConnection { stream }
    }
}

impl RawConnection {
    /// Returns everything received until the connection is closed.
    pub(crate) async fn rest(mut self) -> String {
        let mut answer = Vec::new();
        let reading = self.stream.read_to_end(&mut answer);
        let read = tokio::time::timeout(Duration::from_secs(10), reading).await;
        // A connection reset after the answer counts as its end.
        let _ = read.expect("the gate closes the connection");
        String::from_utf8_lossy(&answer).into_owned()
    }
}

impl Events {
    /// Returns the next event, `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> Option<String> {
        loop {
            if let Some((event, rest)) = self.pending.split_once("\n\n") {
                let event = event.to_owned();
                self.pending = rest.to_owned();
                return Some(event);
            }
            let frame = self.body.frame().await?.ok()?;
            let bytes = frame.into_data().unwrap_or_default();
            self.pending.push_str(&String::from_utf8_lossy(&bytes));
        }
    }

    /// Returns the remaining events of the stream.
    pub(crate) async fn rest(mut self) -> Vec<String> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await {
            events.push(event);
        }
        events
    }
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// Returns the verdict of a refusal.
    pub(crate) fn verdict(&self) -> &str {
        let verdict = self.headers.get("x-quetzalpick-verdict");
        verdict.map_or("", |verdict| verdict.to_str().unwrap())
    }

    /// Formats the answer for a session snapshot.
    pub(crate) fn render(&self) -> String {
        let mut text = format!("< {}\n", self.status);
        for name in SHOWN_HEADERS {
            if let Some(value) = self.headers.get(name) {
                let value = match name {
                    "retry-after" | "retry-after-ms" => "[time]",
                    _ => value.to_str().unwrap(),
                };
                writeln!(text, "< {name}: {value}").unwrap();
            }
        }
        redact(&format!("{text}{}\n", self.body))
    }
}

/// Returns the text of a stream's tokens, their numbers, and the last event.
pub(crate) fn tokens(events: &[String]) -> (String, Vec<u64>, String) {
    let mut text = String::new();
    let mut numbers = Vec::new();
    for event in events {
        let Some(data) = event.strip_prefix("data: ") else {
            continue;
        };
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        if let Some(number) = chunk["quetzalpick_index"].as_u64() {
            numbers.push(number);
            let piece = &chunk["choices"][0]["delta"]["content"];
            text.push_str(piece.as_str().unwrap());
        }
    }
    (text, numbers, events.last().cloned().unwrap_or_default())
}

/// Replaces random ids, which are 32 hexadecimal digits long.
pub(crate) fn redact(text: &str) -> String {
    const ID_CHARS: usize = 32;
    let mut redacted = String::new();
    let mut run = String::new();
    for c in text.chars().chain(std::iter::once('\0')) {
        if c.is_ascii_hexdigit() {
            run.push(c);
            continue;
        }
        redacted.push_str(if run.len() == ID_CHARS { "[id]" } else { &run });
        run.clear();
        if c != '\0' {
            redacted.push(c);
        }
    }
    redacted
}
