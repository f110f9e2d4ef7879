//! Settings sections shared by all processes.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use quetzalpick_core::id::{Domain, Incarnation, Member, Vm as VmId};
use quetzalpick_core::record::Role;
use strum::{Display, EnumString, VariantNames};

use crate::replica;
use crate::settings::{Reader, Section};

const NAME_ALLOWED: &str = "a name of 1 to 100 of A-Z a-z 0-9 . _ : / @ -";
const ADDRESS_ALLOWED: &str = "an IP address and port";
/// Shortest secret, in characters.
pub const SECRET_MIN_CHARS: usize = 16;
const HOUR_MS: u64 = 3_600_000;

/// Parses an IP address and port.
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Checks an IP address and port and returns it in canonical form.
fn address_text(text: &str) -> Option<String> {
    address(text).map(|address| address.to_string())
}

/// Checks the length and the characters of a secret, which is sent in an HTTP header.
pub fn secret(text: &str) -> Option<String> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    (visible && text.len() >= SECRET_MIN_CHARS).then(|| text.to_owned())
}

/// `Vm` identifies the VM that the process runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM, as in the platform's VM list.
    pub name: VmId,
    /// Failure domain of the VM.
    pub domain: Domain,
}

impl Section for Vm {
    fn read(reader: &mut Reader<'_>) -> Self {
        let name = |text: &str| VmId::try_new(text).ok().filter(|_| text.len() <= 100);
        Self {
            name: reader.required("name", "vm-1", NAME_ALLOWED, name),
            domain: reader.required("domain", "a", NAME_ALLOWED, |text| {
                Domain::try_new(text).ok()
            }),
        }
    }
}

/// `Platform` sets the addresses of the platform's services, and the retention of its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// IP address and port of the log service.
    pub log: String,
    /// IP address and port of the VM list.
    pub vms: String,
    /// Time for which the log service keeps records.
    pub log_retention: Duration,
}

impl Section for Platform {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            log: reader.required("log", "127.0.0.1:7000", ADDRESS_ALLOWED, address_text),
            vms: reader.required("vms", "127.0.0.1:7000", ADDRESS_ALLOWED, address_text),
            log_retention: reader.millis("log_retention_ms", HOUR_MS, 10_000..=30 * 24 * HOUR_MS),
        }
    }
}

/// `Peers` sets the peer listener, and the options of exchanges, the lease, voters and suspicion.
#[derive(Clone, PartialEq, Eq)]
pub struct Peers {
    /// Address to listen on.
    pub listen: String,
    /// Address at which peers reach the listener.
    pub address: String,
    /// Secret shared by all processes.
    pub secret: String,
    /// Addresses of peers from which to fetch the state while the log is unavailable.
    pub seeds: Vec<String>,
    /// Duration of a lease.
    pub lease: Duration,
    /// Interval between exchanges with peers.
    pub exchange_interval: Duration,
    /// Number of peers called in each exchange; 0 for all.
    pub exchange_sample: usize,
    /// Largest number of voters; must be the same for all processes.
    pub voters: usize,
    /// Time without contact after which a peer is suspected.
    pub suspicion: Duration,
    /// Time for which claims and command ids are kept.
    pub claim_retention: Duration,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The secret is omitted because settings are logged.
        f.debug_struct("Peers")
            .field("listen", &self.listen)
            .field("address", &self.address)
            .field("lease", &self.lease)
            .finish_non_exhaustive()
    }
}

impl Section for Peers {
    fn read(reader: &mut Reader<'_>) -> Self {
        let secret_allowed = format!("{SECRET_MIN_CHARS} or more of the visible ASCII characters");
        let peers = Self {
            listen: reader.required("listen", "127.0.0.1:7101", ADDRESS_ALLOWED, address_text),
            address: reader.required("address", "127.0.0.1:7101", ADDRESS_ALLOWED, address_text),
            secret: reader.required("secret", "change-this-secret", &secret_allowed, secret),
            seeds: reader.list("seeds", ADDRESS_ALLOWED, address_text),
            lease: reader.millis("lease_ms", 5_000, 1_000..=60_000),
            exchange_interval: reader.millis("exchange_interval_ms", 1_000, 50..=10_000),
            exchange_sample: reader.number("exchange_sample", 0, 0..=1_000, "peers, 0 for all")
                as usize,
            voters: reader.number(
                "voters",
                replica::DEFAULT_MAX_VOTERS as u64,
                1..=101,
                "members",
            ) as usize,
            suspicion: reader.millis("suspicion_ms", 3_000, 500..=60_000),
            claim_retention: reader.millis(
                "claim_retention_ms",
                24 * HOUR_MS,
                60_000..=30 * 24 * HOUR_MS,
            ),
        };
        if peers.exchange_interval * 2 > peers.suspicion {
            reader.problem("suspicion_ms", "must be twice exchange_interval_ms or more");
        }
        if peers.exchange_interval * 2 > peers.lease {
            reader.problem("lease_ms", "must be twice exchange_interval_ms or more");
        }
        peers
    }
}

impl Peers {
    /// Returns the options for a new replica, with a random incarnation.
    pub fn options(&self, vm: &Vm, platform: &Platform, role: Role) -> replica::Options {
        // The section `vm` limits the name to 100 bytes, so the role can be appended.
        let name = VmId::try_new(format!("{}/{role}", vm.name)).expect("short VM name");
        let member = Member {
            vm: name,
            incarnation: Incarnation(rand::random()),
        };
        replica::Options {
            listen: self.listen.clone(),
            secret: self.secret.clone(),
            seeds: self.seeds.clone(),
            lease: self.lease,
            exchange_interval: self.exchange_interval,
            exchange_sample: (self.exchange_sample > 0).then_some(self.exchange_sample),
            voters: self.voters,
            suspicion: self.suspicion,
            log_retention: platform.log_retention,
            claim_retention: self.claim_retention,
            ..replica::Options::new(member, role, vm.domain.clone(), &self.address)
        }
    }
}

/// `Format` selects the format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// `Output` selects where log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// `Level` selects the lowest severity that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// Logs nothing.
    Off,
    /// Logs errors.
    Error,
    /// Logs warnings as well: conditions that may become errors.
    Warn,
    /// Logs decisions as well.
    Info,
    /// Logs details as well.
    Debug,
    /// Logs everything.
    Trace,
}

/// `Log` sets what is logged, in which format and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Format of the lines.
    pub format: Format,
    /// Output of the lines.
    pub output: Output,
    /// Default level.
    pub level: Level,
    /// Levels of single modules, by module path such as `quetzalpick_gate::route`.
    pub levels: Vec<(String, Level)>,
}

impl Section for Log {
    fn read(reader: &mut Reader<'_>) -> Self {
        let allowed = format!("one of {}", Level::VARIANTS.join(", "));
        Self {
            format: reader.choice("format", Format::Text),
            output: reader.choice("output", Output::Stderr),
            level: reader.choice("level", Level::Info),
            levels: reader.table("levels", &allowed, |text| text.parse().ok()),
        }
    }
}

/// `Metrics` sets the admin listener, which answers `/healthz`, `/readyz` and `/metrics`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metrics {
    /// Address to listen on.
    pub listen: String,
}

impl Section for Metrics {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            listen: reader.required("listen", "127.0.0.1:7201", ADDRESS_ALLOWED, address_text),
        }
    }
}
