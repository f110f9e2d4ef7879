//! Calls between peers over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use quetzalpick_client::errors::{Result as CallResult, refused, unanswered};
use quetzalpick_client::http::{
    Body as ClientBody, Framing, Fresh, Pool, Response as ClientResponse, Timeouts,
};
use quetzalpick_core::verdict::Verdict;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio_util::sync::CancellationToken;

use crate::errors::Result;
use crate::http::body;
use crate::http::memory::Memory;
use crate::http::server::{Handler, Options, Server};
use crate::peer::forwarded::{self, Failure};
use crate::peer::{Service, Transport};

/// Header that carries the shared secret.
const SECRET_HEADER: &str = "x-quetzalpick-peer";

/// Size limit of a request body, in bytes.
const CALL_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Size limit of an answer body, which may hold a complete state, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Most bytes of a peer's refusal that are quoted, so that no copy of a long answer is held beside it.
const MESSAGE_MAX_BYTES: usize = 4_096;

/// Time limit for calls in progress to finish at shutdown.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Body of the answer to a call, or of an endpoint's answer that is passed on.
type AnswerBody = Either<Full<Bytes>, ClientBody>;

/// `Http` sends and serves peer calls over HTTP, authenticated by a secret that all processes share.
#[derive(Debug, Clone)]
pub struct Http {
    secret: Arc<str>,
    pool: Pool,
    /// Memory for the bodies of calls.
    memory: Memory,
}

impl Http {
    /// Creates a transport with the shared secret.
    pub fn new(secret: impl AsRef<str>) -> Self {
        Self {
            secret: Arc::from(secret.as_ref()),
            pool: Pool::default(),
            memory: Memory::default(),
        }
    }

    /// Sets the connection pool for calls to peers, with the memory for their answers.
    #[must_use]
    pub fn with_pool(mut self, pool: Pool) -> Self {
        self.pool = pool;
        self
    }

    /// Sets the memory for the bodies of calls, apart from that for callers.
    #[must_use]
    pub fn with_memory(mut self, memory: Memory) -> Self {
        self.memory = memory;
        self
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
        let message = String::from_utf8_lossy(&bytes[..bytes.len().min(MESSAGE_MAX_BYTES)]);
        Err(refused(address, status.as_u16(), message))
    }

    async fn forward(
        &self,
        address: &str,
        endpoint: &str,
        mut request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> CallResult<ClientResponse> {
        let value = |text: &str| {
            let value = HeaderValue::from_str(text);
            value.map_err(|error| unanswered(address, Verdict::NotRun, error))
        };
        let headers = request.headers_mut();
        headers.insert(SECRET_HEADER, value(&self.secret)?);
        headers.insert(forwarded::ENDPOINT, value(endpoint)?);
        // This concerns the connection between the peer and the endpoint.
        if request.extensions_mut().remove::<Fresh>().is_some() {
            request
                .headers_mut()
                .insert(forwarded::FRESH, HeaderValue::from_static("1"));
        }
        match self.pool.send(address, request, timeouts).await {
            Ok(answer) => forwarded::take_answer(address, answer).await,
            Err(error) if error.verdict() == Verdict::NotRun => Err(forwarded::busy(address)),
            Err(error) => Err(error),
        }
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
        let memory = self.memory.clone();
        let listener_service = Listener {
            service,
            secret,
            memory,
        };
        listener.run(listener_service, stop).await;
    }
}

/// `Listener` checks the secret, method and size of requests before passing them to the service.
#[derive(Debug, Clone)]
struct Listener<S> {
    service: S,
    secret: [u8; 32],
    memory: Memory,
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

impl<S: Service> Listener<S> {
    /// Passes a request on to an endpoint and returns its answer, or why there is none.
    async fn forward(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (mut head, mut body) = request.into_parts();
        let endpoint = head.headers.remove(forwarded::ENDPOINT);
        let endpoint = endpoint.as_ref().and_then(|name| name.to_str().ok());
        head.headers.remove(SECRET_HEADER);
        if head.headers.remove(forwarded::FRESH).is_some() {
            head.extensions.insert(Fresh);
        }
        forwarded::strip_request(&mut head.headers);
        let result =
            match body::collect(&mut body, &self.memory, CALL_MAX_BYTES, BODY_TIMEOUT).await {
                Ok(body) => {
                    let request = Request::from_parts(head, Full::new(body));
                    let endpoint = endpoint.unwrap_or_default();
                    self.service.forward(endpoint, request).await
                }
                // The endpoint is not to blame.
                Err(body::Error::MemoryShort) => Err(forwarded::busy("peer")),
                Err(error) => Err(unanswered("peer", Verdict::NotRun, error)),
            };
        match result {
            Ok(answer) => {
                let (mut head, body) = answer.into_parts();
                let framing = Framing::of(&head);
                let carrier = head.extensions.get().copied();
                forwarded::mark_answer(framing, carrier, &mut head.headers);
                Response::from_parts(head, Either::Right(body))
            }
            Err(error) => {
                let mut answer = answer(StatusCode::BAD_GATEWAY, error.to_string());
                Failure::of(&error).add_to(answer.headers_mut());
                answer.map(Either::Left)
            }
        }
    }

    /// Answers a call.
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::POST {
            return answer(StatusCode::METHOD_NOT_ALLOWED, "only POST");
        }
        let path = request.uri().path().to_owned();
        let mut body = request.into_body();
        match body::collect(&mut body, &self.memory, CALL_MAX_BYTES, BODY_TIMEOUT).await {
            Err(error) => answer(error.status(), error.to_string()),
            Ok(body) => match self.service.answer(&path, body).await {
                Some(body) => answer(StatusCode::OK, body),
                None => answer(StatusCode::NOT_FOUND, "unknown path or body"),
            },
        }
    }
}

impl<S: Service> Handler for Listener<S> {
    type Body = AnswerBody;

    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Self::Body> {
        if !self.is_authenticated(&request) {
            log::warn!("peer: refused a call from {peer}: wrong or missing secret");
            return answer(StatusCode::UNAUTHORIZED, "unknown secret").map(Either::Left);
        }
        if request.headers().contains_key(forwarded::ENDPOINT) {
            return self.forward(request).await;
        }
        self.answer(request).await.map(Either::Left)
    }
}
