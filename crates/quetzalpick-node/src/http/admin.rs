//! The admin listener: `/healthz`, `/readyz` and `/metrics`.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use crate::http::server::Handler;
use crate::telemetry::metrics::Metrics;

/// `Readiness` reports whether a process is ready for requests.
pub trait Readiness: Clone + Send + Sync + 'static {
    /// Returns why the process is not ready; `None` if it is ready.
    fn unready_reason(&self) -> Option<String>;
}

/// `Admin` answers liveness, readiness and metrics requests.
#[derive(Debug, Clone)]
pub struct Admin<R> {
    readiness: R,
    metrics: Metrics,
}

impl<R: Readiness> Admin<R> {
    /// Creates the handler.
    pub fn new(readiness: R, metrics: Metrics) -> Self {
        Self { readiness, metrics }
    }

    /// Answers `/readyz`.
    fn readyz(&self) -> Response<Full<Bytes>> {
        match self.readiness.unready_reason() {
            None => text(StatusCode::OK, "ready\n"),
            Some(reason) => text(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("not ready: {reason}\n"),
            ),
        }
    }
}

/// Builds a text answer.
fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(CONTENT_TYPE, plain);
    answer
}

impl<R: Readiness> Handler for Admin<R> {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Self::Body> {
        let known = matches!(request.uri().path(), "/healthz" | "/readyz" | "/metrics");
        if !known {
            return text(StatusCode::NOT_FOUND, "unknown path\n");
        }
        if request.method() != Method::GET {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
        }
        match request.uri().path() {
            "/healthz" => text(StatusCode::OK, "alive\n"),
            "/readyz" => self.readyz(),
            _ => text(StatusCode::OK, self.metrics.text()),
        }
    }
}
