//! The waiting requests of one workspace.

use std::collections::VecDeque;

use crate::admit::Ticket;

/// `Lane` holds the requests of one workspace in the order of dispatch: by priority, then by arrival.
#[derive(Debug, Clone)]
pub(crate) struct Lane<T> {
    tickets: VecDeque<Ticket<T>>,
    /// Tokens of all requests in the lane.
    backlog: u64,
    /// Virtual time at which the lane's next request starts.
    pub(crate) start: u64,
}

impl<T> Lane<T> {
    pub(crate) fn new(start: u64) -> Self {
        Self {
            tickets: VecDeque::new(),
            backlog: 0,
            start,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.tickets.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    pub(crate) fn backlog(&self) -> u64 {
        self.backlog
    }

    pub(crate) fn tickets(&self) -> impl Iterator<Item = &Ticket<T>> {
        self.tickets.iter()
    }

    /// Returns the tokens that are dispatched before a further request of a priority.
    pub(crate) fn ahead(&self, priority: u8) -> u64 {
        let urgent = self.tickets.iter().take_while(|t| t.priority <= priority);
        urgent.map(|t| t.tokens).sum()
    }

    /// Adds a request behind those of its priority.
    pub(crate) fn push(&mut self, ticket: Ticket<T>) {
        let at = self
            .tickets
            .partition_point(|t| t.priority <= ticket.priority);
        self.backlog = self.backlog.saturating_add(ticket.tokens);
        self.tickets.insert(at, ticket);
    }

    /// Removes the first request that is not past its deadline.
    pub(crate) fn pop(&mut self, now_ms: u64) -> Option<Ticket<T>> {
        let at = self.tickets.iter().position(|t| t.deadline_ms > now_ms)?;
        let ticket = self.tickets.remove(at)?;
        self.backlog = self.backlog.saturating_sub(ticket.tokens);
        Some(ticket)
    }

    /// Tells whether a request is not past its deadline.
    pub(crate) fn is_ready(&self, now_ms: u64) -> bool {
        self.tickets.iter().any(|t| t.deadline_ms > now_ms)
    }

    /// Removes the requests for which the predicate holds and appends them to `out`.
    pub(crate) fn remove(
        &mut self,
        mut gone: impl FnMut(&Ticket<T>) -> bool,
        out: &mut Vec<Ticket<T>>,
    ) {
        let tickets = std::mem::take(&mut self.tickets);
        for ticket in tickets {
            if gone(&ticket) {
                self.backlog = self.backlog.saturating_sub(ticket.tokens);
                out.push(ticket);
            } else {
                self.tickets.push_back(ticket);
            }
        }
    }
}
