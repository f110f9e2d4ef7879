//! HTTP handler of the operator API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use quetzalpick_client::traits::Log;
use quetzalpick_core::id::Command;
use quetzalpick_language::{Reply, Request as LineRequest};
use quetzalpick_node::http::body;
use quetzalpick_node::http::memory::Memory;
use quetzalpick_node::http::server::Handler;
use quetzalpick_node::peer::Transport;

use crate::operator::Executor;

/// Path of the operator API.
const PATH: &str = "/v1/operator";
/// Maximum size of a request's body, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;
/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// `Api` authenticates operators and executes the lines in their requests.
#[derive(Debug, Clone)]
pub struct Api<L: Log, T: Transport> {
    executor: Executor<L, T>,
    operators: Vec<Operator>,
    /// Memory for the bodies of requests.
    memory: Memory,
}

/// `Operator` stores the name of an authorized operator and the digest of their token.
#[derive(Debug, Clone)]
struct Operator {
    name: String,
    digest: [u8; 32],
}

/// `ErrorBody` is encoded as the JSON body of an answer to a request that was not executed.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl<L: Log, T: Transport> Api<L, T> {
    /// Creates the handler; `tokens` are pairs of an operator's name and token.
    pub fn new(executor: Executor<L, T>, tokens: &[(String, String)]) -> Self {
        let operator = |(name, token): &(String, String)| Operator {
            name: name.clone(),
            digest: digest(token),
        };
        Self {
            executor,
            operators: tokens.iter().map(operator).collect(),
            memory: Memory::default(),
        }
    }

    /// Sets the memory for the bodies of requests.
    #[must_use]
    pub fn with_memory(mut self, memory: Memory) -> Self {
        self.memory = memory;
        self
    }

    /// Returns the name of the operator whose token is in the request's authorization header.
    fn authenticate(&self, request: &Request<Incoming>) -> Option<&str> {
        let header = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
        let (scheme, token) = header.split_once(' ')?;
        let presented = digest(token.trim());
        // Every token is compared, in constant time, so that response times reveal nothing about the tokens.
        let mut found = None;
        for operator in &self.operators {
            if bool::from(operator.digest.ct_eq(&presented)) {
                found = Some(operator.name.as_str());
            }
        }
        found.filter(|_| scheme.eq_ignore_ascii_case("bearer"))
    }

    /// Reads the line from a request's body and executes it.
    async fn execute_body(&self, operator: &str, mut body: Incoming) -> Response<Full<Bytes>> {
        let bytes = match body::collect(&mut body, &self.memory, BODY_MAX_BYTES, BODY_TIMEOUT).await
        {
            Ok(bytes) => bytes,
            Err(error) => return error_answer(error.status(), &error.to_string()),
        };
        let request: LineRequest = match serde_json::from_slice(&bytes) {
            Ok(request) => request,
            Err(error) => {
                return error_answer(StatusCode::BAD_REQUEST, &format!("not a request: {error}"));
            }
        };
        let command = match request.command.as_deref().map(Command::parse) {
            Some(None) => {
                return error_answer(
                    StatusCode::BAD_REQUEST,
                    "command must be 32 hexadecimal digits",
                );
            }
            Some(command) => command,
            None => None,
        };
        reply_answer(
            &self
                .executor
                .execute(operator, &request.text, command)
                .await,
        )
    }
}

impl<L: Log, T: Transport> Handler for Api<L, T> {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Self::Body> {
        if request.uri().path() != PATH {
            return error_answer(StatusCode::NOT_FOUND, "unknown path");
        }
        if request.method() != Method::POST {
            return error_answer(StatusCode::METHOD_NOT_ALLOWED, "only POST");
        }
        match self.authenticate(&request).map(str::to_owned) {
            Some(operator) => self.execute_body(&operator, request.into_body()).await,
            None => error_answer(
                StatusCode::UNAUTHORIZED,
                "missing or unknown operator's token",
            ),
        }
    }
}

/// Returns the SHA-256 digest of a token.
fn digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Builds the HTTP answer for a reply.
fn reply_answer(reply: &Reply) -> Response<Full<Bytes>> {
    let status = match reply {
        Reply::Table { .. } | Reply::Accepted { .. } => StatusCode::OK,
        Reply::Rejected { .. } => StatusCode::CONFLICT,
        Reply::Invalid { .. } => StatusCode::BAD_REQUEST,
        Reply::NotSent { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Reply::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut answer = json(status, reply);
    if let Reply::NotSent { retry_after_ms } = reply {
        let seconds = retry_after_ms.div_ceil(1000);
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

/// Builds the HTTP answer to a request that is not executed.
fn error_answer(status: StatusCode, error: &str) -> Response<Full<Bytes>> {
    json(status, &ErrorBody { error })
}

/// Builds an HTTP answer with a JSON body.
fn json(status: StatusCode, body: &impl Serialize) -> Response<Full<Bytes>> {
    // Encoding cannot fail, because the types serialized here contain only texts and numbers.
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut answer = Response::new(Full::new(Bytes::from(bytes)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
