//! Calls between peers over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use quetzalpick_client::errors::{Result as CallResult, refused, unanswered};
use quetzalpick_client::http::{Pool, Timeouts};
use quetzalpick_core::verdict::Verdict;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio_util::sync::CancellationToken;

use crate::errors::Result;
use crate::http::body;
use crate::http::server::{Handler, Options, Server};
use crate::peer::{Service, Transport};

/// Header that carries the shared secret.
const SECRET_HEADER: &str = "x-quetzalpick-peer";

/// Size limit of a request body, in bytes.
const CALL_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Size limit of an answer body, which may hold a complete state, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for calls in progress to finish at shutdown.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// `Http` sends and serves peer calls over HTTP, authenticated by a secret that all processes share.
#[derive(Debug, Clone)]
pub struct Http {
    secret: Arc<str>,
    pool: Pool,
}

impl Http {
    /// Creates a transport with the shared secret.
    pub fn new(secret: impl AsRef<str>) -> Self {
        Self {
            secret: Arc::from(secret.as_ref()),
            pool: Pool::default(),
        }
    }
}

impl Transport for Http {
    type Listener = Server;

    async fn call(&self, address: &str, path: &str, body: Bytes) -> CallResult<Bytes> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(SECRET_HEADER, &*self.secret)
            .body(Full::new(body))
            .map_err(|error| unanswered(address, Verdict::NotRun, error))?;
        let timeouts = Timeouts::default();
        let answer = self.pool.send(address, request, timeouts).await?;
        let status = answer.status();
        let bytes = answer.into_body().collect_up_to(ANSWER_MAX_BYTES).await?;
        if status == StatusCode::OK {
            return Ok(bytes);
        }
        let message = String::from_utf8_lossy(&bytes);
        Err(refused(address, status.as_u16(), message))
    }

    async fn bind(&self, address: &str) -> Result<(Server, String)> {
        let options = Options {
            drain: DRAIN_LIMIT,
            ..Options::default()
        };
        let server = Server::try_bind(address, options).await?;
        let address = server.address().to_string();
        Ok((server, address))
    }

    async fn serve(&self, listener: Server, service: impl Service, stop: CancellationToken) {
        let secret = Sha256::digest(self.secret.as_bytes()).into();
        listener.run(Listener { service, secret }, stop).await;
    }
}

/// `Listener` checks the secret, method and size of requests before passing them to the service.
#[derive(Debug, Clone)]
struct Listener<S> {
    service: S,
    secret: [u8; 32],
}

impl<S: Service> Listener<S> {
    /// Returns whether a request carries the shared secret.
    fn is_authenticated(&self, request: &Request<Incoming>) -> bool {
        let secret = request
            .headers()
            .get(SECRET_HEADER)
            .map(HeaderValue::as_bytes);
        // Digests have the same length, so the comparison time reveals nothing about the secret.
        let digest: [u8; 32] = Sha256::digest(secret.unwrap_or_default()).into();
        self.secret.ct_eq(&digest).into()
    }
}

/// Builds an answer with a status and a body.
fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

impl<S: Service> Handler for Listener<S> {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Self::Body> {
        if !self.is_authenticated(&request) {
            log::warn!("peer: refused a call from {peer}: wrong or missing secret");
            return answer(StatusCode::UNAUTHORIZED, "unknown secret");
        }
        if request.method() != Method::POST {
            return answer(StatusCode::METHOD_NOT_ALLOWED, "only POST");
        }
        let path = request.uri().path().to_owned();
        match body::collect(request.into_body(), CALL_MAX_BYTES, BODY_TIMEOUT).await {
            Err(error) => answer(error.status(), error.to_string()),
            Ok(body) => match self.service.answer(&path, body).await {
                Some(body) => answer(StatusCode::OK, body),
                None => answer(StatusCode::NOT_FOUND, "unknown path or body"),
            },
        }
    }
}
