//! The queue of one model.

use crate::admit::throughput::Throughput;
use crate::admit::workspace_queue::WorkspaceQueue;
use crate::admit::{Cause, Refusal, Waiter};
use crate::id::Workspace;
use crate::table::Table;

/// Minimum `retry_after_ms` of a refusal.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// `Options` limits the size of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of waiting requests.
    pub capacity: usize,
    /// Maximum number of waiting requests of one workspace.
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

/// `Queue` holds the requests that wait for one model and dispatches them fairly between workspaces.
///
/// It implements start-time fair queuing by tokens: the workspace whose next request has the smallest virtual start time is
/// served, and each request advances its workspace's virtual start by its tokens. Priorities order only the requests of one
/// workspace, so that no workspace can overtake others by marking all its requests urgent.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    options: Options,
    workspaces: Table<Workspace, WorkspaceQueue<T>>,
    /// Virtual start time of the request dispatched last.
    virtual_time: u64,
    throughput: Throughput,
    len: usize,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            workspaces: Table::default(),
            virtual_time: 0,
            throughput: Throughput::default(),
            len: 0,
        }
    }

    /// Enqueues a request and returns its expected wait, in ms.
    ///
    /// # Errors
    ///
    /// The request with a `Refusal` if the queue is full or the expected wait exceeds the deadline.
    pub fn push(&mut self, now_ms: u64, waiter: Waiter<T>) -> Result<u64, Box<Refusal<T>>> {
        let wait_ms = self.expected_wait_ms(&waiter.workspace, waiter.priority);
        if self.is_full_for(&waiter.workspace) {
            return Err(refuse(waiter, Cause::Full, wait_ms));
        }
        let remaining_ms = waiter.deadline_ms.saturating_sub(now_ms);
        if wait_ms >= remaining_ms {
            return Err(refuse(waiter, Cause::Late, wait_ms - remaining_ms));
        }
        let virtual_time = self.virtual_time;
        let queue = self
            .workspaces
            .get_or_insert_with(waiter.workspace.clone(), || {
                WorkspaceQueue::new(virtual_time)
            });
        // An idle workspace accumulates no credit.
        if queue.is_empty() {
            queue.virtual_start = queue.virtual_start.max(virtual_time);
        }
        queue.push(waiter);
        self.len += 1;
        self.throughput.start(now_ms);
        Ok(wait_ms)
    }

    /// Removes and returns the next request to dispatch; requests past their deadline are left to `expire`.
    pub fn pop(&mut self, now_ms: u64) -> Option<Waiter<T>> {
        let workspaces = self.workspaces.iter_mut();
        let ready = workspaces.filter(|(_, queue)| queue.is_ready(now_ms));
        let (_, queue) = ready.min_by_key(|(_, queue)| queue.virtual_start)?;
        let waiter = queue.pop(now_ms)?;
        self.virtual_time = self.virtual_time.max(queue.virtual_start);
        queue.virtual_start = queue.virtual_start.saturating_add(waiter.tokens.max(1));
        self.len -= 1;
        self.throughput.record_dispatch(now_ms, waiter.tokens);
        self.remove_idle();
        Some(waiter)
    }

    /// Removes and returns the requests past their deadline, which the caller answers at once.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Waiter<T>> {
        self.remove(|waiter| waiter.deadline_ms <= now_ms)
    }

    /// Removes and returns the requests for which the predicate holds, such as those whose client has disconnected.
    pub fn cancel(&mut self, mut predicate: impl FnMut(&T) -> bool) -> Vec<Waiter<T>> {
        self.remove(|waiter| predicate(&waiter.value))
    }

    /// Credits a workspace with tokens that a dispatched request was charged but did not use.
    pub fn settle(&mut self, workspace: &Workspace, unused: u64) {
        let virtual_time = self.virtual_time;
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.virtual_start = queue.virtual_start.saturating_sub(unused).max(virtual_time);
        }
    }

    /// Returns the earliest deadline of a waiting request, in ms.
    pub fn next_deadline(&self) -> Option<u64> {
        let waiters = self.workspaces.values().flat_map(WorkspaceQueue::waiters);
        waiters.map(|waiter| waiter.deadline_ms).min()
    }

    /// Returns the expected wait of a new request of a workspace and priority, in ms.
    ///
    /// Each other waiting workspace is served before it with at most as many tokens as the virtual time until the request's
    /// start allows.
    pub fn expected_wait_ms(&self, workspace: &Workspace, priority: u8) -> u64 {
        let queue = self.workspaces.get(workspace);
        let own_tokens = queue.map_or(0, |queue| queue.tokens_ahead(priority));
        let queue_start = queue.map_or(self.virtual_time, |queue| {
            queue.virtual_start.max(self.virtual_time)
        });
        let start = queue_start.saturating_add(own_tokens);
        let others = self
            .workspaces
            .iter()
            .filter(|(name, _)| *name != workspace);
        let ahead = |queue: &WorkspaceQueue<T>| {
            queue
                .backlog()
                .min(start.saturating_sub(queue.virtual_start))
        };
        let other_tokens: u64 = others.map(|(_, queue)| ahead(queue)).sum();
        self.throughput
            .time_ms(own_tokens.saturating_add(other_tokens))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn is_full_for(&self, workspace: &Workspace) -> bool {
        let own = self
            .workspaces
            .get(workspace)
            .map_or(0, WorkspaceQueue::len);
        self.len >= self.options.capacity || own >= self.options.workspace_capacity
    }

    fn remove(&mut self, mut predicate: impl FnMut(&Waiter<T>) -> bool) -> Vec<Waiter<T>> {
        let mut removed = Vec::new();
        for (_, queue) in self.workspaces.iter_mut() {
            queue.remove(&mut predicate, &mut removed);
        }
        self.len -= removed.len();
        self.remove_idle();
        removed
    }

    /// Removes idle workspaces whose virtual start is not ahead of the virtual time, and ends the busy period when nothing waits.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.workspaces
            .retain(|_, queue| !queue.is_empty() || queue.virtual_start > virtual_time);
        if self.len == 0 {
            self.workspaces = Table::default();
            self.throughput.stop();
        }
    }
}

/// Builds a refusal that asks the caller to retry after `wait_ms`, when enough of the requests ahead have been served.
fn refuse<T>(waiter: Waiter<T>, cause: Cause, wait_ms: u64) -> Box<Refusal<T>> {
    Box::new(Refusal {
        waiter,
        cause,
        retry_after_ms: wait_ms.max(RETRY_AFTER_MIN_MS),
    })
}
