//! Configuration of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::command::LOOPBACK;

/// `Options` configures an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Prefix of the request ids that the engine generates.
    pub name: String,
    /// Platform whose weight store is used; without one, a load takes `load` or `adapter_load`.
    pub platform: Option<SocketAddr>,
    /// Memory for copies, in MB.
    pub memory_mb: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Maximum number of requests in the running batch.
    pub batch: u32,
    /// Maximum number of requests that wait for the batch; others are refused.
    pub waiting: usize,
    /// Time per token when no other request runs.
    pub token: Duration,
    /// Time that each other running request adds to every token.
    pub token_per_running: Duration,
    /// Time per prompt token that is not cached.
    pub prompt_token: Duration,
    /// Tokens after which an answer ends with finish reason `stop`.
    pub stop_after: u32,
    /// Capacity of the prefix cache, in prompt blocks.
    pub cache_blocks: usize,
    /// Delay before a cache event is published.
    pub event_lag: Duration,
    /// Every `event_gap`-th cache event is never published; 0 publishes all.
    pub event_gap: u64,
    /// Interval between two samples of the load.
    pub report_lag: Duration,
    /// Duration of a model load without a weight store.
    pub load: Duration,
    /// Duration of an adapter load without a weight store.
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
