//! Client of the operator API. It sends a command to at most one keeper that may run it, and then queries an unknown
//! outcome by the command's id.

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
/// Maximum size of a reply, in bytes.
const REPLY_MAX_BYTES: usize = 16 << 20;

/// `Options` limits how long the client waits for replies and outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Timeout of a request.
    pub reply_timeout: Duration,
    /// Maximum number of rounds in which all keepers are queried for an unknown outcome.
    pub outcome_queries: u32,
    /// Delay before each of these rounds.
    pub query_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            reply_timeout: Duration::from_secs(12),
            outcome_queries: 5,
            query_interval: Duration::from_secs(1),
        }
    }
}

/// `Client` sends lines to the first reachable keeper.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    servers: Vec<String>,
    token: String,
    options: Options,
}

impl Client {
    /// Creates a client for keepers, which are tried in order.
    pub fn new(servers: Vec<String>, token: String, options: Options) -> Self {
        Self {
            pool: Pool::default(),
            servers,
            token,
            options,
        }
    }

    /// Sends a line; if it is a command, it is sent under the given id.
    ///
    /// # Errors
    ///
    /// `Error::Unreachable` if nothing was sent, `Error::Refused` if a keeper refused the request, `Error::Unknown` if a
    /// command was sent and no keeper reports its outcome.
    pub async fn send(&self, text: &str, command_id: Command) -> Result<Reply> {
        let request = Request {
            text: text.to_owned(),
            command: Some(command_id.to_string()),
        };
        let mut reason = "no server was given".to_owned();
        for server in &self.servers {
            match self.call(server, &request).await {
                Err(Failure::NotSent(cause)) => reason = format!("{server}: {cause}"),
                Err(Failure::OutcomeUnknown(cause)) => {
                    return self.query_outcome(command_id, &cause).await;
                }
                Err(Failure::Refused(error)) => return Err(error),
                Ok(Reply::NotSent { retry_after_ms }) => {
                    reason = format!(
                        "{server}: the log cannot be reached, come back in {retry_after_ms} ms"
                    );
                }
                Ok(Reply::Unknown { .. }) => {
                    return self
                        .query_outcome(command_id, "the log did not answer")
                        .await;
                }
                Ok(reply) => return Ok(reply),
            }
        }
        Err(Error::Unreachable { reason })
    }

    /// Queries all keepers for the outcome of a command that was sent but not answered.
    async fn query_outcome(&self, command_id: Command, reason: &str) -> Result<Reply> {
        let request = Request {
            text: format!("show command {command_id}"),
            command: None,
        };
        for _ in 0..self.options.outcome_queries {
            tokio::time::sleep(self.options.query_interval).await;
            for server in &self.servers {
                if let Ok(reply @ (Reply::Accepted { .. } | Reply::Rejected { .. })) =
                    self.call(server, &request).await
                {
                    return Ok(reply);
                }
            }
        }
        Err(Error::Unknown {
            command: command_id.to_string(),
            reason: reason.to_owned(),
        })
    }

    /// Sends a request to a keeper and parses its reply.
    async fn call(&self, server: &str, request: &Request) -> Result<Reply, Failure> {
        let body = serde_json::to_vec(request).map_err(|e| Failure::NotSent(e.to_string()))?;
        let request = http::Request::post(PATH)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| Failure::NotSent(e.to_string()))?;
        let timeouts = Timeouts {
            head: self.options.reply_timeout,
            ..Timeouts::default()
        };
        let response = self
            .pool
            .send(server, request, timeouts)
            .await
            .map_err(Failure::from_client_error)?;
        let (head, mut body) = response.into_parts();
        let bytes = body
            .collect_up_to(REPLY_MAX_BYTES)
            .await
            .map_err(Failure::from_client_error)?;
        match serde_json::from_slice(&bytes) {
            Ok(reply) => Ok(reply),
            Err(_) if head.status.is_client_error() => Err(Failure::Refused(Error::Refused {
                status: head.status.as_u16(),
                message: String::from_utf8_lossy(&bytes).trim().to_owned(),
            })),
            Err(error) => Err(Failure::OutcomeUnknown(format!(
                "status {}: {error}",
                head.status
            ))),
        }
    }
}

/// `Failure` classifies a request without a reply by whether it may have taken effect.
enum Failure {
    /// Nothing was sent; the request has no effect.
    NotSent(String),
    /// The request was sent, and whether it took effect is unknown.
    OutcomeUnknown(String),
    /// The keeper refused the request.
    Refused(Error),
}

impl Failure {
    /// Classifies an error of the connection pool by its verdict.
    fn from_client_error(error: quetzalpick_client::errors::Error) -> Self {
        match error.verdict() {
            Verdict::NotRun => Self::NotSent(error.to_string()),
            _ => Self::OutcomeUnknown(error.to_string()),
        }
    }
}
