//! How an engine is set up.

use std::net::SocketAddr;
use std::time::Duration;

use crate::command::LOOPBACK;

/// `Options` sets up an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name that answers carry.
    pub name: String,
    /// Platform whose weight store is used; without one, loads take `load` or `adapter_load`.
    pub platform: Option<SocketAddr>,
    /// Memory for copies, in MB.
    pub memory_mb: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Requests in the running batch.
    pub batch: u32,
    /// Requests that may wait for the batch; others are refused.
    pub waiting: usize,
    /// Time of a token when nothing else runs.
    pub token: Duration,
    /// Time that each running request adds to every token.
    pub token_per_running: Duration,
    /// Time of a prompt token that is not cached.
    pub prompt_token: Duration,
    /// Tokens after which an answer ends by itself.
    pub stop_after: u32,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Time until a cache event is published.
    pub event_lag: Duration,
    /// Every so many cache events one is never published; 0 publishes all.
    pub event_gap: u64,
    /// Time between two samples of the load.
    pub report_lag: Duration,
    /// Time of a model load without a weight store.
    pub load: Duration,
    /// Time of an adapter load without a weight store.
    pub adapter_load: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: LOOPBACK,
            name: "engine".to_owned(),
            platform: None,
            memory_mb: 80_000,
            fencing: true,
            batch: 16,
            waiting: 64,
            token: Duration::from_millis(5),
            token_per_running: Duration::from_micros(250),
            prompt_token: Duration::from_micros(100),
            stop_after: 64,
            cache_blocks: 1_024,
            event_lag: Duration::from_millis(500),
            event_gap: 7,
            report_lag: Duration::from_millis(500),
            load: Duration::from_millis(300),
            adapter_load: Duration::from_millis(5),
        }
    }
}
