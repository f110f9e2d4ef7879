//! Settings of an entry.

use std::fmt;
use std::time::Duration;

use quetzalpick_core::election;
use quetzalpick_core::rate::Overdraft;
use quetzalpick_node::http::server;
use quetzalpick_node::process;
use quetzalpick_node::settings::sections::{Log, Metrics, SECRET_MIN_CHARS, Vm, address, secret};
use quetzalpick_node::settings::{Reader, Section};

use crate::entry::Listeners;
use crate::options::{Options, Retries};

const ADDRESS: &str = "an IP address and port";
const MINUTE_MS: u64 = 60_000;

/// Time between the end of the stop and the moment at which the process would be killed.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Retries for each thousand requests.
const RETRY_PERMILLE: u64 = 170;

/// Longest time for a request's head; it also bounds how long a connection may be idle.
const HEAD_TIME: Duration = Duration::from_secs(60);

/// Parses an IP address and port, and returns it as text.
fn address_text(text: &str) -> Option<String> {
    address(text).map(|address| address.to_string())
}

/// `Settings` is the whole settings file of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The VM.
    pub vm: Vm,
    /// Its size.
    pub size: Size,
    /// The log service.
    pub topics: Topics,
    /// The callers' listener.
    pub callers: Callers,
    /// The admin listener.
    pub metrics: Metrics,
    /// Logs.
    pub log: Log,
    /// The other VMs.
    pub peers: Peers,
    /// What operators may rely on.
    pub bounds: Bounds,
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
        }
    }
}

/// `Size` is what the VM has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    /// Processor cores that the process may use.
    pub cores: f64,
}

impl Section for Size {
    fn read(reader: &mut Reader<'_>) -> Self {
        let cores = |text: &str| text.parse().ok().filter(|cores| *cores > 0.0);
        let cores = reader.parsed("cores", "1.0", "a number above 0, as text", cores);
        Self {
            cores: cores.unwrap_or(1.0),
        }
    }
}

/// Processor cores below which a VM lets others lead.
const LEADER_CORES: f64 = 0.2;

/// Longest time by which a VM waits with the first claim of all, in ms; a whole core waits for nothing.
const FIRST_MS: f64 = 1_500.0;

/// `Topics` tells where the log service is.
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

/// `Callers` sets the callers' listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Callers {
    /// Address to listen on.
    pub listen: String,
    /// Most connections at a time.
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

/// `Peers` tells how the VMs reach each other.
#[derive(Clone, PartialEq, Eq)]
pub struct Peers {
    /// Address to listen on, at which the other VMs reach this one.
    pub listen: String,
    /// Secret that all VMs share.
    pub secret: String,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The secret is left out, as settings are logged.
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

/// `Bounds` are the times that operators may rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// From the withdrawal of a key to its end.
    pub revocation: Duration,
    /// From the request to stop to the kill.
    pub stop: Duration,
    /// Retries beyond the ratio that all VMs together may make in a window.
    pub retry_slack: u64,
    /// Length of that window.
    pub retry_window: Duration,
    /// What all VMs together may overdraw of a workspace that is too small for its requests.
    pub overdraft: Overdraft,
}

/// Reads the part of a rate that may be let through beyond it, in thousandths.
fn tolerance(reader: &mut Reader<'_>) -> u64 {
    let share = |text: &str| {
        text.parse()
            .ok()
            .filter(|share| (0.0..=1.0).contains(share))
    };
    let share: Option<f64> = reader.parsed(
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
    /// Returns where an entry with these settings listens.
    pub fn listeners(&self) -> Listeners {
        Listeners {
            callers: self.callers.listen.clone(),
            admin: self.metrics.listen.clone(),
            peers: self.peers.listen.clone(),
            limits: server::Options {
                head_timeout: HEAD_TIME,
                connections: self.callers.connections_max,
                drain: self.bounds.stop,
                ..server::Options::default()
            },
        }
    }

    /// Returns the options of an entry with these settings.
    pub fn options(&self) -> Options {
        let election = if self.size.cores < LEADER_CORES {
            election::Options::for_small_vm()
        } else {
            election::Options::for_large_vm()
        };
        Options {
            election: election::Options {
                first_ms: (FIRST_MS * (1.0 - self.size.cores.min(1.0))) as u64,
                ..election
            },
            revocation: self.bounds.revocation,
            overdraft: self.bounds.overdraft,
            retry: Retries {
                ratio_permille: RETRY_PERMILLE,
                slack: self.bounds.retry_slack,
                window: self.bounds.retry_window,
            },
            stop: self.bounds.stop.saturating_sub(STOP_MARGIN),
            ..Options::new(self.vm.name.clone(), self.vm.domain.clone())
        }
    }
}
