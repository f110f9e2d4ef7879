//! An HTTP/1 server with limits and graceful shutdown.

use std::convert::Infallible;
use std::error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulConnection;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::unconstrained;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::errors::{Error, Result};
use crate::http::activity::{Activities, Activity};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Time after the start of a stop in which persistent connections still take requests that are on their way.
const STOP_GRACE: Duration = Duration::from_millis(50);

/// Time that a connection which is closed to make room has for the rest of a head.
const HEAD_GRACE: Duration = Duration::from_millis(50);

/// Share of the connections that is kept free for new ones, as a divisor: idle connections take some time to close.
const RESERVE_DIVISOR: usize = 16;

/// `Handler` answers requests; each connection uses a clone of it.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Body of the answers; an error of the body closes the connection before the end of the answer.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn error::Error + Send + Sync>>>
        + Send
        + Unpin
        + 'static;

    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// `Options` sets the limits and timeouts of a server.
#[derive(Debug, Clone)]
pub struct Options {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Most header fields in a request.
    pub headers: usize,
    /// Time limit for the head of a request to arrive.
    pub head_timeout: Duration,
    /// Most open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Longest time that a shutdown waits for requests in progress.
    pub drain: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            headers: 100,
            head_timeout: Duration::from_secs(10),
            connections: 4096,
            drain: Duration::from_secs(600),
        }
    }
}

/// `Server` accepts connections on a bound listener and passes their requests to a handler.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    options: Options,
}

impl Server {
    /// Binds a listener.
    ///
    /// # Errors
    ///
    /// `Error::Bind` if the address cannot be bound.
    pub async fn try_bind(address: &str, options: Options) -> Result<Self> {
        let bind = |source| Error::Bind {
            address: address.to_owned(),
            source,
        };
        let listener = TcpListener::bind(address).await.map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        Ok(Self {
            listener,
            address,
            options,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers requests until the token is cancelled, then finishes those in progress; returns whether all of them
    /// finished within `Options::drain`.
    ///
    /// After the cancellation no connection is accepted, and persistent connections are closed after their current
    /// answer.
    pub async fn run(self, handler: impl Handler, stop: CancellationToken) -> bool {
        let connections = TaskTracker::new();
        let slots = Arc::new(Semaphore::new(self.options.connections));
        let activities = Activities::default();
        let start = |stream, peer| {
            let activity = activities.add(stop.child_token());
            let connection = self.connection(stream, peer, handler.clone(), Arc::clone(&activity));
            serve(connection, peer, activity)
        };
        loop {
            let (stream, peer, slot) = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.accept(&slots, &activities) => accepted,
            };
            let served = start(stream, peer);
            connections.spawn(async move {
                served.await;
                drop(slot);
            });
        }
        // Connections that wait to be accepted may carry requests already.
        for (stream, peer) in self.queued().await {
            connections.spawn(start(stream, peer));
        }
        // Closing the listener frees the port for the process that replaces this one.
        let drain = self.options.drain;
        drop(self.listener);
        connections.close();
        timeout(drain, connections.wait()).await.is_ok()
    }

    /// Accepts the connections that the system has established already.
    async fn queued(&self) -> Vec<(TcpStream, SocketAddr)> {
        let mut queued = Vec::new();
        // The first turn lets the runtime learn of connections that are not accepted yet.
        tokio::task::yield_now().await;
        while let Some(Ok(accepted)) = unconstrained(self.listener.accept()).now_or_never() {
            queued.push(accepted);
        }
        queued
    }

    /// Accepts a connection once one of the slots is free. If few are left then, the connection that is idle the longest is closed:
    /// callers that find no slot wait, and their requests are read after they have left.
    async fn accept(
        &self,
        slots: &Arc<Semaphore>,
        activities: &Activities,
    ) -> (TcpStream, SocketAddr, OwnedSemaphorePermit) {
        let slot = Arc::clone(slots).acquire_owned().await;
        let slot = slot.expect("the semaphore is never closed");
        let reserve = (self.options.connections / RESERVE_DIVISOR).max(1);
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    if slots.available_permits() < reserve {
                        activities.close_idle();
                    }
                    return (stream, peer, slot);
                }
                Err(error) => {
                    // If file descriptors have run out, for example, the pause lets connections end.
                    log::warn!("http: cannot accept: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves one connection.
    fn connection<H: Handler>(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        handler: H,
        activity: Arc<Activity>,
    ) -> impl GracefulConnection<Error = hyper::Error> + Send + use<H> {
        // Nagle's algorithm would delay the last part of an answer; an error here only costs that time.
        let _ = stream.set_nodelay(true);
        let handler = Arc::new(handler);
        let service = service_fn(move |request| {
            let (handler, activity) = (Arc::clone(&handler), Arc::clone(&activity));
            async move {
                let _busy = activity.begin_request();
                let response = handler.handle(request, peer).await;
                Ok::<_, Infallible>(response.map(|body| activity.begin_answer(body)))
            }
        });
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.options.head_timeout)
            .max_buf_size(self.options.head_bytes)
            .max_headers(self.options.headers)
            .serve_connection(TokioIo::new(stream), service)
    }
}

/// Serves a connection to its end, which is its current answer once it is to stop. A request that is on its way at that moment
/// is answered too.
async fn serve(
    connection: impl GracefulConnection<Error = hyper::Error>,
    peer: SocketAddr,
    activity: Arc<Activity>,
) {
    let mut connection = pin!(connection);
    let stopped = async {
        activity.stopped().await;
        sleep(STOP_GRACE).await;
    };
    let served = tokio::select! {
        served = &mut connection => served,
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                // A request that has arrived is served, even if the time is over.
                biased;
                served = &mut connection => served,
                () = displaced(&activity) => Ok(()),
            }
        }
    };
    // Connection errors are caused by callers; the handler deals with unfinished requests.
    if let Err(error) = served {
        log::debug!("http: connection of {peer} failed: {error}");
    }
}

/// Waits until a connection that was stopped to make room is to end at once.
async fn displaced(activity: &Activity) {
    activity.displaced().await;
    loop {
        sleep(HEAD_GRACE).await;
        if activity.is_waiting() {
            return;
        }
    }
}
