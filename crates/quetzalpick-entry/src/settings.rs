//! Settings file of an entry.

use std::fmt;
use std::time::Duration;

use quetzalpick_core::election;
use quetzalpick_core::rate::Overdraft;
use quetzalpick_core::route;
use quetzalpick_node::http::memory::Memory;
use quetzalpick_node::http::server;
use quetzalpick_node::process;
use quetzalpick_node::settings::sections::{Log, Metrics, SECRET_MIN_CHARS, Vm, address, secret};
use quetzalpick_node::settings::{Reader, Section};

use crate::entry::Listeners;
use crate::options::{Options, Retries};

const ADDRESS: &str = "an IP address and port";
const MINUTE_MS: u64 = 60_000;

/// Margin between the stop timeout and the moment at which the process would be killed.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Retries for each thousand requests, over all VMs.
const RETRY_PERMILLE: u64 = 170;

/// Longest time for the arrival of a request's head, and so the idle timeout of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Memory of a VM whose settings do not name it, in MiB.
const MEMORY_DEFAULT_MB: u64 = 512;

/// Part of a VM's memory for what is held for callers, as a divisor.
const BUFFER_DIVISOR: u64 = 4;

/// Part of a VM's memory that is always left for that, as a divisor.
const BUFFER_MIN_DIVISOR: u64 = 16;

/// Memory that a process takes without callers, in bytes.
const BASE_BYTES: u64 = 20 << 20;

/// Memory of a connection for a head, a short body and its buffers, in bytes.
const CONNECTION_BYTES: u64 = 40 * 1024;

/// Validates an IP address and port, and returns it in canonical form.
fn address_text(text: &str) -> Option<String> {
    address(text).map(|address| address.to_string())
}

/// `Settings` holds all sections of an entry's settings file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name and failure domain of the VM.
    pub vm: Vm,
    /// Resources of the VM.
    pub size: Size,
    /// The log service.
    pub topics: Topics,
    /// The callers' listener.
    pub callers: Callers,
    /// The admin listener.
    pub metrics: Metrics,
    /// Log output.
    pub log: Log,
    /// Communication with the other VMs.
    pub peers: Peers,
    /// Guaranteed limits.
    pub bounds: Bounds,
    /// How endpoints are chosen for requests.
    pub routing: Routing,
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
            size: reader.section("size"),
            topics: reader.section("topics"),
            callers: reader.section("callers"),
            metrics: reader.section("metrics"),
            log: reader.section("log"),
            peers: reader.section("peers"),
            bounds: reader.section("bounds"),
            routing: reader.section("routing"),
        }
    }
}

/// `Size` describes the resources of the VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    /// Processor cores that the process may use.
    pub cores: f64,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
}

impl Size {
    /// Returns the memory, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb << 20
    }

    /// Returns the number of connections of callers for which the memory suffices, beside what is left for buffers at least.
    fn connections_max(&self) -> usize {
        let memory_bytes = self.memory_bytes();
        let left = memory_bytes - memory_bytes / BUFFER_MIN_DIVISOR;
        let connections = left.saturating_sub(BASE_BYTES) / CONNECTION_BYTES;
        usize::try_from(connections).unwrap_or(usize::MAX)
    }

    /// Returns the bytes for what is held for callers beside a number of connections.
    fn buffer_bytes(&self, connections: usize) -> u64 {
        let memory_bytes = self.memory_bytes();
        let used = BASE_BYTES + (connections as u64).saturating_mul(CONNECTION_BYTES);
        let left = memory_bytes.saturating_sub(used);
        left.clamp(
            memory_bytes / BUFFER_MIN_DIVISOR,
            memory_bytes / BUFFER_DIVISOR,
        )
    }
}

impl Section for Size {
    fn read(reader: &mut Reader<'_>) -> Self {
        let cores = |text: &str| text.parse().ok().filter(|cores| *cores > 0.0);
        let cores = reader.optional("cores", "1.0", "a number above 0, as text", cores);
        Self {
            cores: cores.unwrap_or(1.0),
            memory_mb: reader.number("memory_mb", MEMORY_DEFAULT_MB, 32..=1 << 20, "MiB"),
        }
    }
}

/// `Routing` configures the choice of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Routing {
    /// The load-balancing policy.
    pub policy: route::Policy,
}

impl Section for Routing {
    fn read(reader: &mut Reader<'_>) -> Self {
        let allowed = "random, least-requests, affinity or first-event";
        let policy = |text: &str| text.parse().ok();
        let policy = reader.optional("policy", "affinity", allowed, policy);
        Self {
            policy: policy.unwrap_or_default(),
        }
    }
}

/// Number of processor cores below which a VM leaves leadership to others.
const LEADER_CORES_MIN: f64 = 0.2;

/// Longest delay of a VM before the very first claim of leadership, in ms; a VM with a full core does not wait.
const FIRST_CLAIM_DELAY_MAX_MS: f64 = 1_500.0;

/// `Topics` holds the address of the log service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topics {
    /// IP address and port.
    pub address: String,
}

impl Section for Topics {
    fn read(reader: &mut Reader<'_>) -> Self {
        let address = reader.required("address", "127.0.0.1:7000", ADDRESS, address_text);
        Self { address }
    }
}

/// `Callers` configures the callers' listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Callers {
    /// Address to listen on.
    pub listen: String,
    /// Maximum number of concurrent connections.
    pub connections_max: usize,
}

impl Section for Callers {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            listen: reader.required("listen", "127.0.0.1:7301", ADDRESS, address_text),
            connections_max: reader.number("connections_max", 2_048, 1..=1 << 20, "connections")
                as usize,
        }
    }
}

/// `Peers` configures the communication between the VMs.
#[derive(Clone, PartialEq, Eq)]
pub struct Peers {
    /// Address to listen on for the other VMs.
    pub listen: String,
    /// Secret shared by all VMs.
    pub secret: String,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Settings are logged, so the secret is omitted.
        let mut peers = f.debug_struct("Peers");
        peers.field("listen", &self.listen).finish_non_exhaustive()
    }
}

impl Section for Peers {
    fn read(reader: &mut Reader<'_>) -> Self {
        let allowed = format!("{SECRET_MIN_CHARS} or more of the visible ASCII characters");
        Self {
            listen: reader.required("listen", "127.0.0.1:7101", ADDRESS, address_text),
            secret: reader.required("secret", "change-this-secret", &allowed, secret),
        }
    }
}

/// `Bounds` holds the limits that operators may rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Longest time for which a revoked key is still accepted.
    pub revocation: Duration,
    /// Time from the stop signal to the kill of the process.
    pub stop: Duration,
    /// Time after which an evacuated failure domain must get no requests; they end as soon as possible if it is zero.
    pub evacuation: Duration,
    /// Retries beyond the ratio that all VMs together may make in each window.
    pub retry_slack: u64,
    /// Length of that window.
    pub retry_window: Duration,
    /// Units that all VMs together may overdraw for a workspace whose burst is too small for its requests.
    pub overdraft: Overdraft,
}

/// Reads the share of a rate that may be exceeded, in thousandths.
fn tolerance(reader: &mut Reader<'_>) -> u64 {
    let share = |text: &str| {
        text.parse()
            .ok()
            .filter(|share| (0.0..=1.0).contains(share))
    };
    let share: Option<f64> = reader.optional(
        "rate_tolerance",
        "0.0",
        "a number from 0 to 1, as text",
        share,
    );
    (share.unwrap_or_default() * 1_000.0) as u64
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Section for Bounds {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            revocation: reader.millis("revocation_ms", 5_000, 1_000..=10 * MINUTE_MS),
            stop: reader.seconds("stop_s", 8, 3..=600),
            evacuation: reader.millis("evacuation_ms", 0, 0..=10 * MINUTE_MS),
            retry_slack: reader.number("retry_slack", 50, 0..=1 << 20, "retries"),
            retry_window: reader.seconds("retry_window_s", 10, 1..=3_600),
            overdraft: Overdraft {
                units: reader.number("overdraft_units", 0, 0..=1 << 40, "units"),
                tolerance_permille: tolerance(reader),
                window_ms: millis(reader.seconds("rate_window_s", 8, 1..=3_600)),
            },
        }
    }
}

impl Settings {
    /// Returns the number of connections of callers that are accepted.
    fn connections_max(&self) -> usize {
        self.callers
            .connections_max
            .min(self.size.connections_max())
    }

    /// Returns the listeners for these settings.
    pub fn listeners(&self) -> Listeners {
        Listeners {
            callers: self.callers.listen.clone(),
            admin: self.metrics.listen.clone(),
            peers: self.peers.listen.clone(),
            limits: server::Options {
                head_timeout: HEAD_TIMEOUT,
                connections: self.connections_max(),
                drain: self.bounds.stop,
                ..server::Options::default()
            },
        }
    }

    /// Creates the memory for what the process holds of bodies and answers.
    pub fn memory(&self) -> Memory {
        Memory::new(self.size.buffer_bytes(self.connections_max()))
    }

    /// Returns the entry options for these settings.
    pub fn options(&self) -> Options {
        let election = if self.size.cores < LEADER_CORES_MIN {
            election::Options::for_small_vm()
        } else {
            election::Options::for_large_vm()
        };
        let defaults = Options::new(self.vm.name.clone(), self.vm.domain.clone());
        Options {
            election: election::Options {
                first_claim_delay_ms: (FIRST_CLAIM_DELAY_MAX_MS * (1.0 - self.size.cores.min(1.0)))
                    as u64,
                ..election
            },
            revocation: self.bounds.revocation,
            overdraft: self.bounds.overdraft,
            retry: Retries {
                ratio_permille: RETRY_PERMILLE,
                slack: self.bounds.retry_slack,
                window: self.bounds.retry_window,
            },
            evacuation: self.bounds.evacuation,
            stop_timeout: self.bounds.stop.saturating_sub(STOP_MARGIN),
            route: route::Options {
                policy: self.routing.policy,
                ..defaults.route
            },
            ..defaults
        }
    }
}
