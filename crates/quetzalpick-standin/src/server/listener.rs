//! HTTP listener with limits on connections, sizes and times.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::application::{Application, Call, answer};
use super::reply::{Body, BodyAborted, Reply, error};
use super::socket::{Outlet, Socket};
use crate::errors::{ListenSnafu, Result};

/// Maximum size of a request body, in bytes.
const BODY_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Maximum size of a body that is read completely before it is refused as too large, in bytes.
const DRAIN_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Maximum size of a request head, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// Time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of concurrent connections; others wait.
const CONNECTIONS_MAX: usize = 8_192;

/// `Listener` serves an application until it is dropped, which closes its connections.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    stop: CancellationToken,
    connections: TaskTracker,
}

impl Listener {
    /// Listens on an address and serves the application there.
    ///
    /// # Errors
    ///
    /// `Error::Listen` if the address is not free.
    pub(crate) async fn try_start<A: Application>(
        address: SocketAddr,
        app: Arc<A>,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let bound = listener.local_addr().context(ListenSnafu { address })?;
        let stop = CancellationToken::new();
        let connections = TaskTracker::new();
        let accepting = accept(listener, app, stop.clone(), connections.clone());
        connections.spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self {
            address: bound,
            stop,
            connections,
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and returns when the port is free.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.connections.close();
        self.connections.wait().await;
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Accepts connections until cancelled.
async fn accept<A: Application>(
    listener: TcpListener,
    app: Arc<A>,
    stop: CancellationToken,
    connections: TaskTracker,
) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let Ok(permit) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        // `accept` also fails for a connection that was closed before it was accepted; keep listening.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        let serving = serve(stream, Arc::clone(&app));
        let serving = stop.clone().run_until_cancelled_owned(serving);
        connections.spawn(async move {
            serving.await;
            drop(permit);
        });
    }
}

/// Serves one connection.
async fn serve<A: Application>(stream: TcpStream, app: Arc<A>) {
    // A failure only makes answers slower.
    let _ = stream.set_nodelay(true);
    let outlet = Outlet::default();
    let socket = Socket::new(stream, outlet.clone());
    let service = service_fn(|request| respond(Arc::clone(&app), request, outlet.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    // Errors are expected: a peer disconnected or a fault was injected.
    let _ = connection.await;
}

/// Answers one request; returning an error closes the connection.
async fn respond<A: Application>(
    app: Arc<A>,
    request: Request<Incoming>,
    outlet: Outlet,
) -> std::result::Result<Response<Body>, BodyAborted> {
    outlet.begin_answer();
    let (head, body) = request.into_parts();
    let reply = match read_body(body).await {
        Ok(body) => answer(app, Call { head, body }, outlet).await,
        Err(reply) => reply,
    };
    match reply {
        Reply::Answer(response) => Ok(*response),
        Reply::Close => Err(BodyAborted),
    }
}

/// Reads the body of a request within the limits on size and time.
async fn read_body(body: Incoming) -> std::result::Result<Bytes, Reply> {
    timeout(BODY_TIMEOUT, collect_body(body))
        .await
        .unwrap_or_else(|_| {
            let message = "the body did not arrive in time";
            Err(error(StatusCode::REQUEST_TIMEOUT, "timeout", message))
        })
}

/// Reads a body to its end.
///
/// Data beyond the limit is discarded instead of closing the connection, because a caller that is still sending at the
/// close would not receive the answer.
async fn collect_body(mut body: Incoming) -> std::result::Result<Bytes, Reply> {
    if body.size_hint().lower() > DRAIN_MAX_BYTES {
        return Err(too_large());
    }
    let mut bytes = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Reply::Close)?;
        let data = frame.into_data().unwrap_or_default();
        length += data.len() as u64;
        if length <= BODY_MAX_BYTES {
            bytes.extend_from_slice(&data);
        } else if length > DRAIN_MAX_BYTES {
            return Err(too_large());
        }
    }
    match length > BODY_MAX_BYTES {
        true => Err(too_large()),
        false => Ok(bytes.freeze()),
    }
}

/// Builds the answer to a body that is too large.
fn too_large() -> Reply {
    let message = format!("a body has at most {BODY_MAX_BYTES} bytes");
    error(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
}
