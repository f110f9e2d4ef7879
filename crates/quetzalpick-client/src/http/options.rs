//! Connection limits and timeouts.

use std::time::Duration;

/// `Options` limits the idle connections of a pool and the size of answer heads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Most idle connections kept per address.
    pub idle_per_address: usize,
    /// Longest time that an idle connection is kept; shorter than the peers' own timeout, so that a peer rarely closes
    /// a connection while a request is being sent on it.
    pub idle_timeout: Duration,
    /// Largest head of an answer, in bytes.
    pub head_max_bytes: usize,
    /// Most header fields in an answer.
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

/// `Timeouts` limits how long each step of a call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Connecting.
    pub connect: Duration,
    /// From sending the request to the head of the answer.
    pub head: Duration,
    /// Between two chunks of the answer's body.
    pub body_idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            head: Duration::from_secs(5),
            body_idle: Duration::from_secs(5),
        }
    }
}
