//! The operator API's client: a command is sent once and asked after by its id.

use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http_body_util::Full;

use quetzalpick_client::http::{Pool, Timeouts};
use quetzalpick_core::id::Command;
use quetzalpick_core::verdict::Verdict;
use quetzalpick_language::{Reply, Request};

use crate::errors::{Error, Result};

/// Path of the operator API.
const PATH: &str = "/v1/operator";
/// Largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// `Options` bounds the waiting of the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Longest wait for an answer.
    pub answer: Duration,
    /// How often a command without an answer is asked after.
    pub questions: u32,
    /// Time between two such questions.
    pub pause: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            answer: Duration::from_secs(12),
            questions: 5,
            pause: Duration::from_secs(1),
        }
    }
}

/// `Client` sends lines to the first keeper that can be reached.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    servers: Vec<String>,
    token: String,
    options: Options,
}

impl Client {
    /// Makes a client for keepers, which are tried in order.
    pub fn new(servers: Vec<String>, token: String, options: Options) -> Self {
        Self {
            pool: Pool::default(),
            servers,
            token,
            options,
        }
    }

    /// Sends a line; a command goes under the given id.
    ///
    /// # Errors
    ///
    /// `Error::Unreachable` if nothing was sent, `Error::Refused` if a keeper refused the call, `Error::Unknown` if a
    /// command was sent and no keeper knows what became of it.
    pub async fn send(&self, text: &str, command: Command) -> Result<Reply> {
        let request = Request {
            text: text.to_owned(),
            command: Some(command.to_string()),
        };
        let mut reason = "no server was given".to_owned();
        for server in &self.servers {
            match self.call(server, &request).await {
                Err(Failure::NotSent(why)) => reason = format!("{server}: {why}"),
                Err(Failure::Lost(why)) => return self.ask_after(command, &why).await,
                Err(Failure::Refused(error)) => return Err(error),
                Ok(Reply::NotSent { retry_after_ms }) => {
                    reason = format!(
                        "{server}: the log cannot be reached, come back in {retry_after_ms} ms"
                    );
                }
                Ok(Reply::Unknown { .. }) => {
                    return self.ask_after(command, "the log did not answer").await;
                }
                Ok(reply) => return Ok(reply),
            }
        }
        Err(Error::Unreachable { reason })
    }

    /// Asks all keepers what became of a command that was sent without an answer.
    async fn ask_after(&self, command: Command, reason: &str) -> Result<Reply> {
        let request = Request {
            text: format!("show command {command}"),
            command: None,
        };
        for _ in 0..self.options.questions {
            tokio::time::sleep(self.options.pause).await;
            for server in &self.servers {
                if let Ok(reply @ (Reply::Accepted { .. } | Reply::Rejected { .. })) =
                    self.call(server, &request).await
                {
                    return Ok(reply);
                }
            }
        }
        Err(Error::Unknown {
            command: command.to_string(),
            reason: reason.to_owned(),
        })
    }

    /// Sends one request to one keeper.
    async fn call(&self, server: &str, request: &Request) -> Result<Reply, Failure> {
        let body = serde_json::to_vec(request).map_err(|e| Failure::NotSent(e.to_string()))?;
        let request = http::Request::post(PATH)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| Failure::NotSent(e.to_string()))?;
        let timeouts = Timeouts {
            head: self.options.answer,
            ..Timeouts::default()
        };
        let response = self
            .pool
            .send(server, request, timeouts)
            .await
            .map_err(Failure::of)?;
        let (head, mut body) = response.into_parts();
        let bytes = body
            .collect_up_to(ANSWER_MAX_BYTES)
            .await
            .map_err(Failure::of)?;
        match serde_json::from_slice(&bytes) {
            Ok(reply) => Ok(reply),
            Err(_) if head.status.is_client_error() => Err(Failure::Refused(Error::Refused {
                status: head.status.as_u16(),
                message: String::from_utf8_lossy(&bytes).trim().to_owned(),
            })),
            Err(error) => Err(Failure::Lost(format!("status {}: {error}", head.status))),
        }
    }
}

/// `Failure` says what is known of a call without a reply.
enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// The request was sent and its effect is not known.
    Lost(String),
    /// The keeper refused the call.
    Refused(Error),
}

impl Failure {
    /// Sorts an error of the pool by its verdict.
    fn of(error: quetzalpick_client::errors::Error) -> Self {
        match error.verdict() {
            Verdict::NotRun => Self::NotSent(error.to_string()),
            _ => Self::Lost(error.to_string()),
        }
    }
}
