//! Attempts of one request that are under way at the same time.

use std::time::Duration;

use futures::StreamExt;
use futures::future::{AbortHandle, Abortable};
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
    attempts: FuturesUnordered<Abortable<F>>,
    /// Endpoints of these attempts, in the order of their starts.
    under_way: Vec<(Endpoint, AbortHandle)>,
}

impl<F, T> Hedge<F>
where
    F: Future<Output = (Endpoint, T)>,
{
    /// Creates a hedge without attempts.
    pub(crate) fn new() -> Self {
        Self {
            attempts: FuturesUnordered::new(),
            under_way: Vec::new(),
        }
    }

    /// Adds an attempt at an endpoint that has none under way.
    pub(crate) fn push(&mut self, endpoint: Endpoint, attempt: F) {
        let (handle, registration) = AbortHandle::new_pair();
        self.under_way.push((endpoint, handle));
        self.attempts.push(Abortable::new(attempt, registration));
    }

    /// Returns the number of attempts under way.
    pub(crate) fn len(&self) -> usize {
        self.under_way.len()
    }

    /// Returns whether no attempt is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.under_way.is_empty()
    }

    /// Waits for the next result; `None` if none comes within `patience` or no attempt is under way.
    pub(crate) async fn next(&mut self, patience: Duration) -> Option<Outcome<T>> {
        timeout(patience, self.next_result()).await.ok()?
    }

    async fn next_result(&mut self) -> Option<Outcome<T>> {
        loop {
            // Attempts that were given up end without a result.
            let Ok((endpoint, result)) = self.attempts.next().await? else {
                continue;
            };
            let mut endpoints = self.under_way.iter().map(|(endpoint, _)| endpoint);
            let Some(earlier) = endpoints.position(|other| *other == endpoint) else {
                continue;
            };
            self.under_way.remove(earlier);
            return Some(Outcome { result, earlier });
        }
    }

    /// Gives up the attempt that was started first, if any, and returns its endpoint.
    pub(crate) fn give_up_oldest(&mut self) -> Option<Endpoint> {
        if self.under_way.is_empty() {
            return None;
        }
        let (endpoint, handle) = self.under_way.remove(0);
        handle.abort();
        Some(endpoint)
    }
}
