//! A waiting request, and its refusal.

use strum::Display;

use crate::id::Workspace;

/// `Waiter` is a request that waits for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter<T> {
    /// The workspace that it is charged to.
    pub workspace: Workspace,
    /// Priority among the requests of its workspace; 0 is most urgent.
    pub priority: u8,
    /// Tokens that it was charged.
    pub tokens: u64,
    /// Time by which it must be dispatched, in ms.
    pub deadline_ms: u64,
    /// What the caller wants back.
    pub value: T,
}

/// `Cause` says why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The queue, or the workspace's part of it, is full.
    Full,
    /// The expected wait exceeds the deadline.
    Late,
}

/// `Refusal` hands back a request that the queue does not take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal<T> {
    /// The request.
    pub waiter: Waiter<T>,
    /// Why it is refused.
    pub cause: Cause,
    /// When to come back, in ms.
    pub retry_after_ms: u64,
}
