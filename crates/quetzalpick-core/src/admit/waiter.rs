//! Waiting requests and refusals.

use strum::Display;

use crate::id::Workspace;

/// `Waiter` holds a request that waits for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter<T> {
    /// The workspace to which the request is charged.
    pub workspace: Workspace,
    /// Priority among the requests of its workspace; 0 is the most urgent.
    pub priority: u8,
    /// Tokens charged for the request.
    pub tokens: u64,
    /// Latest time of dispatch, in ms.
    pub deadline_ms: u64,
    /// The caller's value, returned unchanged.
    pub value: T,
}

/// `Cause` is the reason why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The queue, or the workspace's share of it, is full.
    Full,
    /// The expected wait exceeds the deadline.
    Late,
}

/// `Refusal` returns a request that the queue did not accept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal<T> {
    /// The request.
    pub waiter: Waiter<T>,
    /// Reason for the refusal.
    pub cause: Cause,
    /// Time after which the caller may retry, in ms.
    pub retry_after_ms: u64,
}
