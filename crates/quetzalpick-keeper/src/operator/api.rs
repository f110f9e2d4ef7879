//! The HTTP side of the operator API.

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
use quetzalpick_language::{Reply, Request as Line};
use quetzalpick_node::http::body;
use quetzalpick_node::http::server::Handler;
use quetzalpick_node::peer::Transport;

use crate::operator::Executor;

/// Path of the operator API.
const PATH: &str = "/v1/operator";
/// Largest request, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;
/// Longest time for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// `Api` answers operators' requests.
#[derive(Debug, Clone)]
pub struct Api<L: Log, T: Transport> {
    executor: Executor<L, T>,
    operators: Vec<Operator>,
}

/// `Operator` is one who may use the API.
#[derive(Debug, Clone)]
struct Operator {
    name: String,
    digest: [u8; 32],
}

/// `Fault` is the body of an answer that carries no reply.
#[derive(Debug, Serialize)]
struct Fault<'a> {
    error: &'a str,
}

impl<L: Log, T: Transport> Api<L, T> {
    /// Makes the handler for operators, given as names with tokens.
    pub fn new(executor: Executor<L, T>, tokens: &[(String, String)]) -> Self {
        let operator = |(name, token): &(String, String)| Operator {
            name: name.clone(),
            digest: digest(token),
        };
        Self {
            executor,
            operators: tokens.iter().map(operator).collect(),
        }
    }

    /// Returns the name of the operator whose token came with a request.
    fn operator(&self, request: &Request<Incoming>) -> Option<&str> {
        let header = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
        let (scheme, token) = header.split_once(' ')?;
        let given = digest(token.trim());
        // Every token is compared, in constant time, so that the time tells nothing.
        let mut found = None;
        for operator in &self.operators {
            if bool::from(operator.digest.ct_eq(&given)) {
                found = Some(operator.name.as_str());
            }
        }
        found.filter(|_| scheme.eq_ignore_ascii_case("bearer"))
    }

    /// Reads the line and carries it out.
    async fn answer(&self, operator: &str, body: Incoming) -> Response<Full<Bytes>> {
        let bytes = match body::collect(body, BODY_MAX_BYTES, BODY_TIMEOUT).await {
            Ok(bytes) => bytes,
            Err(error) => return fault(error.status(), &error.to_string()),
        };
        let line: Line = match serde_json::from_slice(&bytes) {
            Ok(line) => line,
            Err(error) => {
                return fault(StatusCode::BAD_REQUEST, &format!("not a request: {error}"));
            }
        };
        let command = match line.command.as_deref().map(Command::parse) {
            Some(None) => {
                return fault(
                    StatusCode::BAD_REQUEST,
                    "command must be 32 hexadecimal digits",
                );
            }
            Some(given) => given,
            None => None,
        };
        reply(&self.executor.carry_out(operator, &line.text, command).await)
    }
}

impl<L: Log, T: Transport> Handler for Api<L, T> {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Self::Body> {
        if request.uri().path() != PATH {
            return fault(StatusCode::NOT_FOUND, "unknown path");
        }
        if request.method() != Method::POST {
            return fault(StatusCode::METHOD_NOT_ALLOWED, "only POST");
        }
        match self.operator(&request).map(str::to_owned) {
            Some(operator) => self.answer(&operator, request.into_body()).await,
            None => fault(
                StatusCode::UNAUTHORIZED,
                "missing or unknown operator's token",
            ),
        }
    }
}

/// Returns the digest of a token.
fn digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Builds the answer for a reply.
fn reply(reply: &Reply) -> Response<Full<Bytes>> {
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

/// Builds the answer to a request that is not carried out.
fn fault(status: StatusCode, error: &str) -> Response<Full<Bytes>> {
    json(status, &Fault { error })
}

/// Builds an answer in JSON.
fn json(status: StatusCode, body: &impl Serialize) -> Response<Full<Bytes>> {
    // The types serialized here hold only texts and numbers, so that this cannot fail.
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut answer = Response::new(Full::new(Bytes::from(bytes)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
