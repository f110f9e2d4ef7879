//! Limits, timeouts and intervals of the gate.

use std::time::Duration;

use quetzalpick_core::{admit, quota, retry, route};

/// `Options` holds the tuning parameters of a gate.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum size of a request's body, in bytes.
    pub body_max_bytes: usize,
    /// Maximum time in which a caller must send a request's body.
    pub body_timeout: Duration,
    /// Maximum size of a complete answer accepted from an endpoint, in bytes.
    pub answer_max_bytes: usize,
    /// Maximum time from a request's arrival to its complete answer, or to the first token of a stream.
    pub request_timeout: Duration,
    /// Maximum wait for admission.
    pub queue_timeout: Duration,
    /// Maximum time to connect to an endpoint.
    pub connect_timeout: Duration,
    /// Maximum silence of an endpoint within an answer.
    pub silence_timeout: Duration,
    /// Maximum wait for a caller to accept the next event of its stream.
    pub caller_timeout: Duration,
    /// Maximum number of attempts of one request.
    pub attempts_max: u32,
    /// Maximum number of this gate's requests in flight for each copy of a model.
    pub in_flight_per_copy: usize,
    /// Time to wait for tokens from a peer before another one is asked too.
    pub gather_answer_timeout: Duration,
    /// Maximum number of such waits without an answer for one request.
    pub gather_waits_max: u32,
    /// Maximum number of peers that decline to give tokens for one request, or do not answer.
    pub gather_peers_max: usize,
    /// Interval at which shares are rebalanced and the payload for peers is published.
    pub share_interval: Duration,
    /// Maximum time that a stream continues after the lease was lost.
    pub lease: Duration,
    /// Interval at which engine reports are polled.
    pub report_interval: Duration,
    /// Interval at which the VM list is polled.
    pub vms_interval: Duration,
    /// Maximum time that a repeated call waits for the outcome of the first.
    pub repeat_wait: Duration,
    /// Time between becoming unready and refusing new connections.
    pub grace: Duration,
    /// Maximum time to hand over shares and to close claims in a planned stop.
    pub hand_over_timeout: Duration,
    /// Maximum number of cached prefixes stored for each endpoint.
    pub prefix_capacity: usize,
    /// Time after which a cached prefix is assumed to be evicted.
    pub prefix_age: Duration,
    /// Options of the choice of endpoints.
    pub route: route::Options,
    /// Options of the retry budget.
    pub retry: retry::Options,
    /// Delay before a retry.
    pub backoff: retry::Backoff,
    /// Options of the admission queues.
    pub admit: admit::Options,
    /// Options of the quota shares.
    pub quota: quota::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 << 20,
            body_timeout: Duration::from_secs(10),
            answer_max_bytes: 16 << 20,
            request_timeout: Duration::from_secs(60),
            queue_timeout: Duration::from_secs(5),
            connect_timeout: Duration::from_millis(300),
            silence_timeout: Duration::from_secs(10),
            caller_timeout: Duration::from_secs(30),
            attempts_max: 4,
            in_flight_per_copy: 64,
            gather_answer_timeout: Duration::from_millis(200),
            gather_waits_max: 5,
            gather_peers_max: 3,
            share_interval: Duration::from_millis(250),
            lease: Duration::from_secs(5),
            report_interval: Duration::from_millis(500),
            vms_interval: Duration::from_secs(1),
            repeat_wait: Duration::from_secs(1),
            grace: Duration::from_secs(2),
            hand_over_timeout: Duration::from_secs(5),
            prefix_capacity: 1_024,
            prefix_age: Duration::from_secs(120),
            route: route::Options::default(),
            retry: retry::Options::default(),
            backoff: retry::Backoff::default(),
            admit: admit::Options::default(),
            quota: quota::Options::default(),
        }
    }
}
