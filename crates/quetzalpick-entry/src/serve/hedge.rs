//! Attempts of one request that are under way at the same time.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use quetzalpick_core::id::Endpoint;
use tokio::time::timeout;

/// `Outcome` is the result of an attempt.
#[derive(Debug)]
pub(crate) struct Outcome<T> {
    pub(crate) result: T,
    /// Number of the attempts under way that were started before it.
    pub(crate) earlier: usize,
}

/// `Hedge` holds the attempts of a request that are under way: an endpoint that is slow is not given up before another one has
/// answered.
#[derive(Debug)]
pub(crate) struct Hedge<F> {
    attempts: FuturesUnordered<F>,
    /// Endpoints of these attempts, in the order of their starts.
    endpoints: Vec<Endpoint>,
}

impl<F, T> Hedge<F>
where
    F: Future<Output = (Endpoint, T)>,
{
    /// Creates a hedge without attempts.
    pub(crate) fn new() -> Self {
        Self {
            attempts: FuturesUnordered::new(),
            endpoints: Vec::new(),
        }
    }

    /// Adds an attempt at an endpoint.
    pub(crate) fn push(&mut self, endpoint: Endpoint, attempt: F) {
        self.endpoints.push(endpoint);
        self.attempts.push(attempt);
    }

    /// Returns the number of attempts under way.
    pub(crate) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no attempt is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Waits for the next result; `None` if none comes within `patience` or no attempt is under way.
    pub(crate) async fn next(&mut self, patience: Duration) -> Option<Outcome<T>> {
        let (endpoint, result) = timeout(patience, self.attempts.next()).await.ok()??;
        let earlier = self.endpoints.iter().position(|other| *other == endpoint)?;
        self.endpoints.remove(earlier);
        Some(Outcome { result, earlier })
    }

    /// Returns the endpoints of the attempts that are still under way, in the order of their starts.
    pub(crate) fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }
}
