//! An HTTP listener with limits and a shutdown that finishes what is under way.

use std::convert::Infallible;
use std::error;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::errors::{Error, Result};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// `Handler` answers requests; a clone is used for each connection.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Body of the answers; an error closes the connection before the answer's end.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static;

    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// `Options` are the limits of a listener.
#[derive(Debug, Clone)]
pub struct Options {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most header fields.
    pub headers: usize,
    /// Longest time to send a request's head.
    pub head_timeout: Duration,
    /// Most connections at a time; others wait to be accepted.
    pub connections: usize,
    /// Longest time that a shutdown waits for requests under way.
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

/// `Server` is a bound listener.
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

    /// Answers requests until the token is cancelled, then finishes those under way; tells whether all finished.
    ///
    /// From the cancellation on no connection is accepted, and a kept one is closed after the answer under way.
    pub async fn run(self, handler: impl Handler, stop: CancellationToken) -> bool {
        let graceful = GracefulShutdown::new();
        let slots = Arc::new(Semaphore::new(self.options.connections));
        loop {
            let (stream, peer, slot) = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.accept(&slots) => accepted,
            };
            let connection = self.connection(stream, peer, handler.clone());
            let watched = graceful.watch(connection);
            tokio::spawn(async move {
                // A connection fails by its caller's doing; what that means is the handler's matter.
                if let Err(error) = watched.await {
                    log::debug!("http: connection of {peer} failed: {error}");
                }
                drop(slot);
            });
        }
        // The port is free for a successor as soon as nothing is accepted any more.
        drop(self.listener);
        timeout(self.options.drain, graceful.shutdown())
            .await
            .is_ok()
    }

    /// Accepts a connection once there is room for one.
    async fn accept(
        &self,
        slots: &Arc<Semaphore>,
    ) -> (TcpStream, SocketAddr, OwnedSemaphorePermit) {
        let slot = Arc::clone(slots).acquire_owned().await;
        let slot = slot.expect("the semaphore is never closed");
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => return (stream, peer, slot),
                Err(error) => {
                    // As when file descriptors run out: a pause lets connections end.
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
    ) -> impl GracefulConnection<Error = hyper::Error> + use<H> {
        // Without this an answer's last part may be held back; a failure costs only time.
        let _ = stream.set_nodelay(true);
        let handler = Arc::new(handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handler.handle(request, peer).await) }
        });
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.options.head_timeout)
            .max_buf_size(self.options.head_bytes)
            .max_headers(self.options.headers)
            .serve_connection(TokioIo::new(stream), service)
    }
}
