//! Bounds and times of the gate.

use std::time::Duration;

use quetzalpick_core::{admit, quota, retry, route};

/// `Options` are the knobs of a gate.
#[derive(Debug, Clone)]
pub struct Options {
    /// Largest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// Longest time to send a request's body.
    pub body_timeout: Duration,
    /// Largest whole answer taken from an endpoint, in bytes.
    pub answer_max_bytes: usize,
    /// Longest time from a request's arrival to its whole answer, or to the first token of a stream.
    pub request_timeout: Duration,
    /// Longest wait for admission.
    pub queue_timeout: Duration,
    /// Longest time to connect to an endpoint.
    pub connect_timeout: Duration,
    /// Longest silence of an endpoint within an answer.
    pub silence_timeout: Duration,
    /// Longest wait for a caller to take the next event of its stream.
    pub caller_timeout: Duration,
    /// Most tries of one request.
    pub tries_max: u32,
    /// Requests of this gate under way for each copy of a model.
    pub in_flight_per_copy: usize,
    /// Longest time to gather tokens from peers for one request.
    pub gather_timeout: Duration,
    /// Most peers asked for tokens for one request.
    pub gather_tries: usize,
    /// Interval of share rebalancing and of what is published to peers.
    pub share_interval: Duration,
    /// Longest time that a stream outlives the lease.
    pub lease: Duration,
    /// Interval of engine reports.
    pub report_interval: Duration,
    /// Interval of the VM list.
    pub vms_interval: Duration,
    /// Longest wait of a repeated call for the outcome of the first.
    pub repeat_wait: Duration,
    /// Time between becoming unready and refusing new connections.
    pub grace: Duration,
    /// Longest time to hand over shares and to close claims in a planned stop.
    pub hand_over_timeout: Duration,
    /// Cache hints remembered of each endpoint.
    pub prefix_capacity: usize,
    /// Time that a cache hint is trusted.
    pub prefix_age: Duration,
    /// The choice of endpoints.
    pub route: route::Options,
    /// The retry budget.
    pub retry: retry::Options,
    /// The pause before a retry.
    pub backoff: retry::Backoff,
    /// The queues.
    pub admit: admit::Options,
    /// The shares.
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
            tries_max: 4,
            in_flight_per_copy: 64,
            gather_timeout: Duration::from_millis(20),
            gather_tries: 3,
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
