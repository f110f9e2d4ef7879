//! The queue of one model.

use crate::admit::{Refusal, Ticket};
use crate::id::Workspace;

/// `Options` bound a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Most requests waiting.
    pub capacity: usize,
    /// Most requests of one workspace waiting.
    pub workspace_capacity: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 1_024,
            workspace_capacity: 512,
        }
    }
}

/// `Queue` holds the requests that wait for one model and hands them out fairly between workspaces.
///
/// Fairness counts tokens. Priorities order the requests of one workspace only, so that no workspace can pass others
/// by calling everything urgent.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    waiting: Vec<Ticket<T>>,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new(options: Options) -> Self {
        let _ = options;
        Self {
            waiting: Vec::new(),
        }
    }

    /// Takes a request, and returns the expected wait in ms.
    ///
    /// # Errors
    ///
    /// The request with a `Refusal` if the queue is full or the expected wait exceeds the deadline.
    pub fn push(&mut self, now_ms: u64, ticket: Ticket<T>) -> Result<u64, Box<Refusal<T>>> {
        let _ = now_ms;
        self.waiting.push(ticket);
        Ok(0)
    }

    /// Returns the request that is to be dispatched next; requests past their deadline are left to `expire`.
    pub fn pop(&mut self, now_ms: u64) -> Option<Ticket<T>> {
        let _ = now_ms;
        self.waiting.pop()
    }

    /// Removes and returns the requests that can no longer be dispatched in time; they are answered at once.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Ticket<T>> {
        let _ = now_ms;
        Vec::new()
    }

    /// Removes and returns the requests for which the predicate holds, such as those whose caller is gone.
    pub fn cancel(&mut self, gone: impl FnMut(&T) -> bool) -> Vec<Ticket<T>> {
        let _ = gone;
        Vec::new()
    }

    /// Credits a workspace with tokens that a dispatched request was charged and did not use.
    pub fn settle(&mut self, workspace: &Workspace, unused: u64) {
        let _ = (workspace, unused);
    }

    /// Returns the earliest deadline of a waiting request, in ms.
    pub fn next_deadline(&self) -> Option<u64> {
        None
    }

    /// Returns the expected wait of a further request of a workspace, in ms.
    pub fn expected_wait_ms(&self, workspace: &Workspace, tokens: u64) -> u64 {
        let _ = (workspace, tokens);
        0
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
