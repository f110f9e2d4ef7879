//! Bounds on connections and on waiting.

use std::time::Duration;

/// `Options` bounds what a pool keeps and accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Idle connections kept for each address.
    pub idle_per_address: usize,
    /// Longest time that an idle connection is kept; shorter than peers keep theirs, so that a peer hardly ever closes a
    /// connection while a request is on its way.
    pub idle_timeout: Duration,
    /// Largest head of an answer, in bytes.
    pub head_max_bytes: usize,
    /// Most headers in an answer.
    pub headers_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            idle_per_address: 64,
            idle_timeout: Duration::from_secs(10),
            head_max_bytes: 64 * 1024,
            headers_max: 100,
        }
    }
}

/// `Timeouts` bounds the waiting of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For a connection to be made.
    pub connect: Duration,
    /// From sending the request to the head of the answer.
    pub head: Duration,
    /// Between two parts of the answer's body.
    pub part: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            head: Duration::from_secs(5),
            part: Duration::from_secs(5),
        }
    }
}
