//! The waiting requests of one workspace.

use std::collections::VecDeque;

use crate::admit::Waiter;

/// `WorkspaceQueue` holds the waiting requests of one workspace in dispatch order: by priority, then by arrival.
#[derive(Debug, Clone)]
pub(crate) struct WorkspaceQueue<T> {
    waiters: VecDeque<Waiter<T>>,
    /// Tokens of all requests in the queue.
    backlog: u64,
    /// Virtual start time of the next request.
    pub(crate) virtual_start: u64,
}

impl<T> WorkspaceQueue<T> {
    pub(crate) fn new(virtual_start: u64) -> Self {
        Self {
            waiters: VecDeque::new(),
            backlog: 0,
            virtual_start,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub(crate) fn backlog(&self) -> u64 {
        self.backlog
    }

    pub(crate) fn waiters(&self) -> impl Iterator<Item = &Waiter<T>> {
        self.waiters.iter()
    }

    /// Returns the tokens dispatched before a new request of a priority.
    pub(crate) fn tokens_ahead(&self, priority: u8) -> u64 {
        let urgent = self.waiters.iter().take_while(|w| w.priority <= priority);
        urgent.map(|w| w.tokens).sum()
    }

    /// Inserts a request after those of the same priority.
    pub(crate) fn push(&mut self, waiter: Waiter<T>) {
        let index = self
            .waiters
            .partition_point(|w| w.priority <= waiter.priority);
        self.backlog = self.backlog.saturating_add(waiter.tokens);
        self.waiters.insert(index, waiter);
    }

    /// Removes the first request that is not past its deadline.
    pub(crate) fn pop(&mut self, now_ms: u64) -> Option<Waiter<T>> {
        let index = self.waiters.iter().position(|w| w.deadline_ms > now_ms)?;
        let waiter = self.waiters.remove(index)?;
        self.backlog = self.backlog.saturating_sub(waiter.tokens);
        Some(waiter)
    }

    /// Returns true if any request is not past its deadline.
    pub(crate) fn is_ready(&self, now_ms: u64) -> bool {
        self.waiters.iter().any(|w| w.deadline_ms > now_ms)
    }

    /// Removes the requests for which the predicate holds and appends them to `removed`.
    pub(crate) fn remove(
        &mut self,
        mut predicate: impl FnMut(&Waiter<T>) -> bool,
        removed: &mut Vec<Waiter<T>>,
    ) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if predicate(&waiter) {
                self.backlog = self.backlog.saturating_sub(waiter.tokens);
                removed.push(waiter);
            } else {
                self.waiters.push_back(waiter);
            }
        }
    }
}
