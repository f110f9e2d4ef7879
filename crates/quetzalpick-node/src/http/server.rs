//! An HTTP listener with limits and a shutdown that finishes what is under way.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::errors::{Error, Result};

/// `Handler` answers requests; a clone is used for each connection.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Body of the answers.
    type Body: Body<Data = Bytes, Error = Infallible> + Send + 'static;

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
    pub async fn run(self, handler: impl Handler, stop: CancellationToken) -> bool {
        let _ = (handler, stop, self.listener, self.options);
        todo!()
    }
}
