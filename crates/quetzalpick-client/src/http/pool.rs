//! A pool of idle connections, and the verdict of each call.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::header::{HOST, HeaderValue};
use quetzalpick_core::table::Table;
use quetzalpick_core::verdict::Verdict;
use tokio::time::{Instant, timeout};

use super::connection::Connection;
use super::memory::Memory;
use super::{Body, Fresh, Options, Request, Response, Timeouts};
use crate::errors::{Error, Result, unanswered};

/// `Pool` sends requests and keeps idle connections for reuse; clones share the connections.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    shared: Arc<Shared>,
}

/// `IdleConnection` holds a connection that is ready for a request, and the time since which it is idle.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// `Shared` holds the state that all clones of a pool share.
#[derive(Debug, Default)]
struct Shared {
    options: Options,
    /// Memory for answers that are read whole; `None` if only their own limits bound them.
    memory: Option<Memory>,
    idle: Mutex<Table<SocketAddr, Vec<IdleConnection>>>,
    /// Source address of new connections; `None` leaves it to the system.
    source: Mutex<Option<IpAddr>>,
    /// Number of attempts to connect, which numbers the connections.
    attempts: AtomicU64,
    /// Number of connections that were established.
    connections: AtomicU64,
}

/// `PoolHandle` returns a connection to the pool that it was taken from.
#[derive(Debug, Clone)]
pub(crate) struct PoolHandle {
    pool: Pool,
    address: SocketAddr,
}

impl PoolHandle {
    /// Returns the address of the peer.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the memory for answers that are read whole.
    pub(crate) fn memory(&self) -> Option<&Memory> {
        self.pool.shared.memory.as_ref()
    }

    /// Returns a connection to the pool after its last answer was read to its end.
    pub(crate) fn put_back(&self, connection: Connection, reuse: Reuse) {
        self.pool.put_back(self.address, connection, reuse);
    }
}

/// `Reuse` determines when an idle connection is used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Before the others.
    First,
    /// After the others.
    Last,
}

/// `SendOutcome` is the result of sending a request over one connection.
enum SendOutcome {
    /// The head of the answer arrived.
    Answered(Response),
    /// No byte of the request was sent; returns the request and the reason.
    Unsent(Request, String),
    /// The request was sent at least in part and was not answered.
    NoAnswer(String),
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(options: Options) -> Self {
        let shared = Shared {
            options,
            ..Shared::default()
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Creates a pool without connections, whose answers that are read whole share a memory with all else that uses it.
    pub fn with_memory(options: Options, memory: Memory) -> Self {
        let shared = Shared {
            options,
            memory: Some(memory),
            ..Shared::default()
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sets the source address of new connections, on hosts with several; `None` leaves it to the system.
    pub fn set_source(&self, source: Option<IpAddr>) {
        *lock(&self.shared.source) = source;
    }

    /// Sends a request to an IP address and port and returns the answer as soon as its head has arrived.
    ///
    /// An idle connection that turns out to be closed before any byte of the request was sent is replaced by a new one. A request
    /// that is marked `Fresh` gets a new connection. The extensions of the answer hold its `Carrier`.
    ///
    /// # Errors
    ///
    /// `Error::Unanswered`, with `Verdict::NotRun` only if no byte of the request was sent.
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
        let may_reuse = request.extensions().get::<Fresh>().is_none();
        let take_idle = || may_reuse.then(|| self.take_idle(peer)).flatten();
        // Idle connections are tried first; the next one is used only if no byte of the request was sent.
        while let Some(connection) = take_idle() {
            match self.send_over(peer, connection, request, timeouts).await {
                SendOutcome::Answered(response) => return Ok(response),
                SendOutcome::Unsent(returned, _) => request = returned,
                SendOutcome::NoAnswer(reason) => return Err(may_have_run(address, reason)),
            }
        }
        let connection = self.try_connect(peer, timeouts.connect).await;
        let connection = connection.map_err(not_run)?;
        match self.send_over(peer, connection, request, timeouts).await {
            SendOutcome::Answered(response) => Ok(response),
            SendOutcome::Unsent(_, reason) => Err(not_run(reason)),
            SendOutcome::NoAnswer(reason) => Err(may_have_run(address, reason)),
        }
    }

    /// Returns the number of connections that were established so far.
    pub fn connection_count(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Establishes a connection within a time limit and keeps it for requests; returns whether that succeeded.
    pub async fn probe(&self, address: SocketAddr, limit: Duration) -> bool {
        let connection = self.try_connect(address, limit).await;
        let is_connected = connection.is_ok();
        if let Ok(connection) = connection {
            self.put_back(address, connection, Reuse::First);
        }
        is_connected
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        *lock(&self.shared.idle) = Table::default();
    }

    /// Establishes a connection within a time limit.
    async fn try_connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, String> {
        let source = *lock(&self.shared.source);
        let number = self.shared.attempts.fetch_add(1, Ordering::Relaxed);
        let connecting = Connection::try_connect(number, address, source, &self.shared.options);
        let connection = with_timeout(limit, connecting).await?;
        let connection = connection.map_err(|e| format!("cannot connect: {e}"))?;
        self.shared.connections.fetch_add(1, Ordering::Relaxed);
        Ok(connection)
    }

    /// Sends a request over one connection.
    async fn send_over(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request,
        timeouts: Timeouts,
    ) -> SendOutcome {
        match with_timeout(timeouts.connect, connection.sender.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return SendOutcome::Unsent(request, error.to_string()),
            Err(timed_out) => return SendOutcome::Unsent(request, timed_out),
        }
        let sending = connection.sender.try_send_request(request);
        match with_timeout(timeouts.head, sending).await {
            Ok(Ok(mut response)) => {
                connection.carrier.answer += 1;
                response.extensions_mut().insert(connection.carrier);
                let pool = self.clone();
                let handle = PoolHandle { pool, address };
                let body = |incoming| Body::new(incoming, connection, handle, timeouts);
                SendOutcome::Answered(response.map(body))
            }
            // hyper returns the request only if not even its first byte was written.
            Ok(Err(mut failure)) => match failure.take_message() {
                Some(request) => SendOutcome::Unsent(request, failure.into_error().to_string()),
                None => SendOutcome::NoAnswer(failure.into_error().to_string()),
            },
            Err(timed_out) => SendOutcome::NoAnswer(timed_out),
        }
    }

    /// Takes the idle connection to be used first that is neither expired nor known to be closed.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.shared.idle);
        let connections = idle.get_mut(&address)?;
        while let Some(IdleConnection { connection, since }) = connections.pop() {
            let fresh = since.elapsed() < self.shared.options.idle_timeout;
            if fresh && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds an idle connection, and drops the oldest ones above the limit.
    fn put_back(&self, address: SocketAddr, connection: Connection, reuse: Reuse) {
        let options = &self.shared.options;
        let mut idle = lock(&self.shared.idle);
        let since = Instant::now();
        let connections = idle.get_or_insert_with(address, Vec::new);
        let index = match reuse {
            Reuse::First => connections.len(),
            Reuse::Last => 0,
        };
        connections.insert(index, IdleConnection { connection, since });
        let surplus = connections.len().saturating_sub(options.idle_per_address);
        connections.drain(..surplus);
        // Removes addresses whose connections have all expired.
        idle.retain(|_, connections| {
            let mut times = connections.iter().map(|idle| idle.since.elapsed());
            times.any(|idle| idle < options.idle_timeout)
        });
    }
}

/// Locks a mutex; what it guards is valid also if another thread has panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Awaits a future for at most `limit`; the error is a message that names the limit.
async fn with_timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, String> {
    timeout(limit, future)
        .await
        .map_err(|_| format!("no answer within {} ms", limit.as_millis()))
}

/// Builds the error of a request that was sent at least in part and was not answered.
fn may_have_run(address: &str, reason: String) -> Error {
    unanswered(address, Verdict::MayHaveRun, reason)
}
