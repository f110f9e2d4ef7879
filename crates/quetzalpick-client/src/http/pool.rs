//! Connections kept for further requests, and the verdict of each call.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::header::{HOST, HeaderValue};
use quetzalpick_core::table::Table;
use quetzalpick_core::verdict::Verdict;
use tokio::time::{Instant, timeout};

use super::connection::Connection;
use super::{Body, Options, Request, Response, Timeouts};
use crate::errors::{Error, Result, unanswered};

/// `Pool` sends requests over kept connections; its clones share them.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    shared: Arc<Shared>,
}

/// `Idle` is a connection that waits for a request.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// `Shared` is what the clones of a pool have in common.
#[derive(Debug, Default)]
struct Shared {
    options: Options,
    idle: Mutex<Table<SocketAddr, Vec<Idle>>>,
}

/// `Home` is the place in a pool that a connection returns to.
#[derive(Debug, Clone)]
pub(crate) struct Home {
    pool: Pool,
    address: SocketAddr,
}

impl Home {
    /// Returns the address of the peer.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn keep(&self, connection: Connection) {
        self.pool.keep(self.address, connection);
    }
}

/// `Attempt` is what became of a request on one connection.
enum Attempt {
    /// The head of the answer arrived.
    Answered(Response),
    /// Nothing of the request was sent, and here it is again.
    Unsent(Request, String),
    /// The request left and no answer came.
    Lost(String),
}

impl Pool {
    /// Makes a pool without connections.
    pub fn new(options: Options) -> Self {
        let idle = Mutex::default();
        Self {
            shared: Arc::new(Shared { options, idle }),
        }
    }

    /// Sends a request to an IP address and port and returns the answer as soon as its head is there.
    ///
    /// A kept connection that was closed before anything of the request was sent is replaced by a new one.
    ///
    /// # Errors
    ///
    /// `Error::Unanswered`, with `Verdict::NotRun` only if nothing of the request was sent.
    pub async fn send(
        &self,
        address: &str,
        mut request: Request,
        timeouts: Timeouts,
    ) -> Result<Response> {
        let not_run = |reason: String| unanswered(address, Verdict::NotRun, reason);
        let peer: SocketAddr = address
            .parse()
            .map_err(|_| not_run("not an IP address and port".to_owned()))?;
        if !request.headers().contains_key(HOST) {
            let host = HeaderValue::from_str(address).map_err(|e| not_run(e.to_string()))?;
            request.headers_mut().insert(HOST, host);
        }
        // Kept connections are tried first, as long as they turn out closed before the request left.
        while let Some(connection) = self.take(peer) {
            match self.attempt(peer, connection, request, timeouts).await {
                Attempt::Answered(response) => return Ok(response),
                Attempt::Unsent(returned, _) => request = returned,
                Attempt::Lost(reason) => return Err(lost(address, reason)),
            }
        }
        let connecting = Connection::try_connect(peer, &self.shared.options);
        let connection = within(timeouts.connect, connecting)
            .await
            .map_err(not_run)?
            .map_err(|e| not_run(format!("cannot connect: {e}")))?;
        match self.attempt(peer, connection, request, timeouts).await {
            Attempt::Answered(response) => Ok(response),
            Attempt::Unsent(_, reason) => Err(not_run(reason)),
            Attempt::Lost(reason) => Err(lost(address, reason)),
        }
    }

    /// Sends a request over one connection.
    async fn attempt(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request,
        timeouts: Timeouts,
    ) -> Attempt {
        match within(timeouts.connect, connection.sender.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return Attempt::Unsent(request, error.to_string()),
            Err(late) => return Attempt::Unsent(request, late),
        }
        let sending = connection.sender.try_send_request(request);
        match within(timeouts.head, sending).await {
            Ok(Ok(response)) => {
                let pool = self.clone();
                let home = Home { pool, address };
                let guard = |incoming| Body::new(incoming, connection, home, timeouts);
                Attempt::Answered(response.map(guard))
            }
            // The request comes back only if not even its first byte was written.
            Ok(Err(mut failure)) => match failure.take_message() {
                Some(request) => Attempt::Unsent(request, failure.into_error().to_string()),
                None => Attempt::Lost(failure.into_error().to_string()),
            },
            Err(late) => Attempt::Lost(late),
        }
    }

    /// Takes the most recently used kept connection that is not known to be closed.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self
            .shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&address)?;
        while let Some(Idle { connection, since }) = kept.pop() {
            let fresh = since.elapsed() < self.shared.options.idle_timeout;
            if fresh && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection, and drops the oldest ones beyond the bounds.
    fn keep(&self, address: SocketAddr, connection: Connection) {
        let options = &self.shared.options;
        let mut idle = self
            .shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let since = Instant::now();
        let kept = idle.get_or_insert_with(address, Vec::new);
        kept.push(Idle { connection, since });
        let surplus = kept.len().saturating_sub(options.idle_per_address);
        kept.drain(..surplus);
        // Addresses whose connections have all become too old are forgotten.
        idle.retain(|_, kept| {
            kept.last()
                .is_some_and(|newest| newest.since.elapsed() < options.idle_timeout)
        });
    }
}

/// Waits for a future up to a time limit, and describes a limit that was missed.
async fn within<F: Future>(limit: Duration, future: F) -> Result<F::Output, String> {
    timeout(limit, future)
        .await
        .map_err(|_| format!("no answer within {} ms", limit.as_millis()))
}

/// Makes the error of a request that left and was not answered.
fn lost(address: &str, reason: String) -> Error {
    unanswered(address, Verdict::MayHaveRun, reason)
}
