//! Sections that the settings of all processes have in common.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use quetzalpick_core::id::{Domain, Incarnation, Member, Vm as VmId};
use quetzalpick_core::record::Role;
use strum::{Display, EnumString, VariantNames};

use crate::replica;
use crate::settings::{Reader, Section};

const NAME: &str = "a name of 1 to 100 of A-Z a-z 0-9 . _ : / @ -";
const ADDRESS: &str = "an IP address and port";
/// Fewest characters of a secret.
pub const SECRET_MIN_CHARS: usize = 16;
const HOUR_MS: u64 = 3_600_000;

/// Parses an IP address and port.
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses the base of an HTTP address: an IP address and port.
fn address_text(text: &str) -> Option<String> {
    address(text).map(|address| address.to_string())
}

/// Parses the secret, which travels in a header.
pub fn secret(text: &str) -> Option<String> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    (visible && text.len() >= SECRET_MIN_CHARS).then(|| text.to_owned())
}

/// `Vm` names the VM that the process runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM, the same as in the platform's list.
    pub name: VmId,
    /// Failure domain.
    pub domain: Domain,
}

impl Section for Vm {
    fn read(reader: &mut Reader<'_>) -> Self {
        let name = |text: &str| VmId::try_new(text).ok().filter(|_| text.len() <= 100);
        Self {
            name: reader.required("name", "vm-1", NAME, name),
            domain: reader.required("domain", "a", NAME, |text| Domain::try_new(text).ok()),
        }
    }
}

/// `Platform` tells where the platform's services are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// IP address and port of the log service.
    pub log: String,
    /// IP address and port of the VM list.
    pub vms: String,
    /// How long the log service keeps records.
    pub log_retention: Duration,
}

impl Section for Platform {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            log: reader.required("log", "127.0.0.1:7000", ADDRESS, address_text),
            vms: reader.required("vms", "127.0.0.1:7000", ADDRESS, address_text),
            log_retention: reader.millis("log_retention_ms", HOUR_MS, 10_000..=30 * 24 * HOUR_MS),
        }
    }
}

/// `Peers` sets how the process and its peers act together.
#[derive(Clone, PartialEq, Eq)]
pub struct Peers {
    /// Address to listen on.
    pub listen: String,
    /// Address at which peers reach the listener.
    pub address: String,
    /// Secret that all processes share.
    pub secret: String,
    /// Addresses of peers to ask for a state while the log is out.
    pub seeds: Vec<String>,
    /// How long a lease lasts.
    pub lease: Duration,
    /// Interval of the exchange.
    pub exchange_interval: Duration,
    /// Peers called in each exchange, 0 for all.
    pub exchange_sample: usize,
    /// Most members that vote; the same for all processes.
    pub voters: usize,
    /// Silence after which a peer is suspected.
    pub suspicion: Duration,
    /// How long claims and command ids are remembered.
    pub claim_retention: Duration,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The secret is left out, as settings are logged.
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
            listen: reader.required("listen", "127.0.0.1:7101", ADDRESS, address_text),
            address: reader.required("address", "127.0.0.1:7101", ADDRESS, address_text),
            secret: reader.required("secret", "change-this-secret", &secret_allowed, secret),
            seeds: reader.list("seeds", ADDRESS, address_text),
            lease: reader.millis("lease_ms", 5_000, 1_000..=60_000),
            exchange_interval: reader.millis("exchange_interval_ms", 1_000, 50..=10_000),
            exchange_sample: reader.number("exchange_sample", 0, 0..=1_000, "peers, 0 for all")
                as usize,
            voters: reader.number("voters", replica::VOTERS_MAX as u64, 1..=101, "members")
                as usize,
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
    /// Returns the options of a replica that starts now: its incarnation is drawn at random.
    pub fn options(&self, vm: &Vm, platform: &Platform, role: Role) -> replica::Options {
        // The name leaves room for the role: it was checked to be short.
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

/// `Format` is the form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object a line.
    Json,
}

/// `Output` is where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// `Level` is how much is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// Nothing.
    Off,
    /// Faults only.
    Error,
    /// Faults and what may become one.
    Warn,
    /// Decisions as well.
    Info,
    /// Details as well.
    Debug,
    /// Everything.
    Trace,
}

/// `Log` sets what is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Form of the lines.
    pub format: Format,
    /// Where they go.
    pub output: Output,
    /// How much is logged.
    pub level: Level,
    /// Levels of single parts, by module path such as `quetzalpick_gate::route`.
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
            listen: reader.required("listen", "127.0.0.1:7201", ADDRESS, address_text),
        }
    }
}
