//! The waiting requests of one workspace.

use std::collections::VecDeque;

use crate::admit::Waiter;

/// `Lane` holds the requests of one workspace in the order of dispatch: by priority, then by arrival.
#[derive(Debug, Clone)]
pub(crate) struct Lane<T> {
    waiters: VecDeque<Waiter<T>>,
    /// Tokens of all requests in the lane.
    backlog: u64,
    /// Virtual time at which the lane's next request starts.
    pub(crate) start: u64,
}

impl<T> Lane<T> {
    pub(crate) fn new(start: u64) -> Self {
        Self {
            waiters: VecDeque::new(),
            backlog: 0,
            start,
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

    /// Returns the tokens that are dispatched before a further request of a priority.
    pub(crate) fn ahead(&self, priority: u8) -> u64 {
        let urgent = self.waiters.iter().take_while(|t| t.priority <= priority);
        urgent.map(|t| t.tokens).sum()
    }

    /// Adds a request behind those of its priority.
    pub(crate) fn push(&mut self, waiter: Waiter<T>) {
        let at = self
            .waiters
            .partition_point(|t| t.priority <= waiter.priority);
        self.backlog = self.backlog.saturating_add(waiter.tokens);
        self.waiters.insert(at, waiter);
    }

    /// Removes the first request that is not past its deadline.
    pub(crate) fn pop(&mut self, now_ms: u64) -> Option<Waiter<T>> {
        let at = self.waiters.iter().position(|t| t.deadline_ms > now_ms)?;
        let waiter = self.waiters.remove(at)?;
        self.backlog = self.backlog.saturating_sub(waiter.tokens);
        Some(waiter)
    }

    /// Tells whether a request is not past its deadline.
    pub(crate) fn is_ready(&self, now_ms: u64) -> bool {
        self.waiters.iter().any(|t| t.deadline_ms > now_ms)
    }

    /// Removes the requests for which the predicate holds and appends them to `out`.
    pub(crate) fn remove(
        &mut self,
        mut gone: impl FnMut(&Waiter<T>) -> bool,
        out: &mut Vec<Waiter<T>>,
    ) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if gone(&waiter) {
                self.backlog = self.backlog.saturating_sub(waiter.tokens);
                out.push(waiter);
            } else {
                self.waiters.push_back(waiter);
            }
        }
    }
}
