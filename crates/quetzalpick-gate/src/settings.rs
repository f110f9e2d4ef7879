//! Settings of the gate.

use std::time::Duration;

use quetzalpick_core::retry;
use quetzalpick_core::route::Policy;
use quetzalpick_node::http::memory::Memory;
use quetzalpick_node::http::server;
use quetzalpick_node::process;
use quetzalpick_node::settings::sections::{Log, Metrics, Peers, Platform, Vm, address};
use quetzalpick_node::settings::{Reader, Section};

use crate::options::Options;

const ADDRESS: &str = "an IP address and port";
const HOUR_MS: u64 = 3_600_000;
const MINUTE_MS: u64 = 60_000;

/// `Settings` holds the complete settings file of a gate.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name and failure domain of the VM.
    pub vm: Vm,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Exchange with the other processes.
    pub peers: Peers,
    /// Log output.
    pub log: Log,
    /// The admin listener.
    pub metrics: Metrics,
    /// The callers' listener.
    pub callers: Callers,
    /// Queues, routing and retries.
    pub requests: Requests,
}

impl process::Settings for Settings {
    fn log(&self) -> &Log {
        &self.log
    }
}

impl Section for Settings {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            vm: reader.section("vm"),
            platform: reader.section("platform"),
            peers: reader.section("peers"),
            log: reader.section("log"),
            metrics: reader.section("metrics"),
            callers: reader.section("callers"),
            requests: reader.section("requests"),
        }
    }
}

/// `Callers` configures the callers' listener.
#[derive(Debug, Clone)]
pub struct Callers {
    /// Address to listen on.
    pub listen: String,
    /// Maximum size of a body, in bytes.
    pub body_max_bytes: usize,
    /// Bytes of bodies held at most, in MB.
    pub buffer_mb: u64,
    /// Maximum time in which a caller must send a body.
    pub body_timeout: Duration,
    /// Limits of the listener.
    pub server: server::Options,
    /// Time between becoming unready and refusing new connections.
    pub grace: Duration,
}

impl Section for Callers {
    fn read(reader: &mut Reader<'_>) -> Self {
        let listen = |text: &str| address(text).map(|address| address.to_string());
        Self {
            listen: reader.required("listen", "127.0.0.1:7301", ADDRESS, listen),
            body_max_bytes: reader.number("body_max_bytes", 4 << 20, 1_024..=1 << 30, "bytes")
                as usize,
            buffer_mb: reader.number("buffer_mb", 128, 8..=1 << 20, "MB"),
            body_timeout: reader.millis("body_timeout_ms", 10_000, 100..=HOUR_MS),
            server: server::Options {
                head_bytes: reader.number("head_max_bytes", 32_768, 8_192..=1 << 20, "bytes")
                    as usize,
                headers: reader.number("headers_max", 100, 10..=1_000, "headers") as usize,
                head_timeout: reader.millis("head_timeout_ms", 10_000, 100..=HOUR_MS),
                connections: reader.number("connections_max", 4_096, 1..=1 << 20, "connections")
                    as usize,
                drain: reader.millis("drain_ms", 10 * MINUTE_MS, 100..=24 * HOUR_MS),
            },
            grace: reader.millis("grace_ms", 2_000, 0..=10 * MINUTE_MS),
        }
    }
}

/// `Requests` configures queues, routing and retries.
#[derive(Debug, Clone)]
pub struct Requests {
    /// Maximum time to a complete answer, or to the first token of a stream.
    pub timeout: Duration,
    /// Maximum wait for admission.
    pub queue_timeout: Duration,
    /// Maximum silence of an endpoint within an answer.
    pub silence_timeout: Duration,
    /// Maximum number of attempts of one request.
    pub attempts_max: u32,
    /// Maximum number of this gate's requests in flight for each copy of a model.
    pub in_flight_per_copy: usize,
    /// Retries allowed for each thousand first attempts.
    pub retry_permille: u64,
    /// Policy for the choice of endpoints.
    pub policy: Policy,
}

impl Section for Requests {
    fn read(reader: &mut Reader<'_>) -> Self {
        // A gate learns no paces.
        let is_known = |policy: &Policy| *policy != Policy::FirstEvent;
        let policy = |text: &str| text.parse().ok().filter(is_known);
        let policies = "one of random, least-requests, affinity";
        let policy = reader.optional("policy", "affinity", policies, policy);
        Self {
            timeout: reader.millis("timeout_ms", MINUTE_MS, 100..=HOUR_MS),
            queue_timeout: reader.millis("queue_timeout_ms", 5_000, 1..=HOUR_MS),
            silence_timeout: reader.millis("silence_timeout_ms", 10_000, 100..=HOUR_MS),
            attempts_max: reader.number("tries_max", 4, 1..=100, "tries") as u32,
            in_flight_per_copy: reader.number("in_flight_per_copy", 64, 1..=100_000, "requests")
                as usize,
            retry_permille: reader.number("retry_permille", 200, 0..=1_000, "retries"),
            policy: policy.unwrap_or_default(),
        }
    }
}

impl Settings {
    /// Creates the memory for what the process holds of bodies and answers.
    pub fn memory(&self) -> Memory {
        Memory::new(self.callers.buffer_mb << 20)
    }

    /// Returns the options of a gate with these settings.
    pub fn options(&self) -> Options {
        let mut options = Options {
            body_max_bytes: self.callers.body_max_bytes,
            body_timeout: self.callers.body_timeout,
            grace: self.callers.grace,
            request_timeout: self.requests.timeout,
            queue_timeout: self.requests.queue_timeout,
            silence_timeout: self.requests.silence_timeout,
            attempts_max: self.requests.attempts_max,
            in_flight_per_copy: self.requests.in_flight_per_copy,
            lease: self.peers.lease,
            retry: retry::Options {
                ratio_permille: self.requests.retry_permille,
                ..retry::Options::default()
            },
            ..Options::default()
        };
        options.route.policy = self.requests.policy;
        options
    }
}
