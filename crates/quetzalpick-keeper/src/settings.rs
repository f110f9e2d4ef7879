//! Settings of the keeper.

use std::fmt;
use std::time::Duration;

use quetzalpick_core::plan::Policy;
use quetzalpick_node::process;
use quetzalpick_node::settings::sections::{self, address};
use quetzalpick_node::settings::{Reader, Section};

use crate::place;

/// Fewest characters of an operator's token.
const TOKEN_MIN_CHARS: usize = 16;
const TOKEN_ALLOWED: &str = "a token of 16 characters or more";

/// `Settings` is the whole settings file of a keeper.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The VM.
    pub vm: sections::Vm,
    /// The platform's services.
    pub platform: sections::Platform,
    /// The peer exchange.
    pub peers: sections::Peers,
    /// The operator API.
    pub operator: Operator,
    /// Placement.
    pub place: Place,
    /// Logs.
    pub log: sections::Log,
    /// The admin listener.
    pub metrics: sections::Metrics,
}

/// `Operator` sets the operator API.
#[derive(Clone)]
pub struct Operator {
    /// Address to listen on.
    pub listen: String,
    /// Names of operators with their tokens, sorted by name.
    pub tokens: Vec<(String, String)>,
    /// Time between not being ready and refusing connections, for the balancer to take notice.
    pub grace: Duration,
}

impl fmt::Debug for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Tokens are left out, as settings are logged.
        f.debug_struct("Operator")
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

/// `Place` sets placement.
#[derive(Debug, Clone)]
pub struct Place {
    /// Options of the leader and its planner.
    pub options: place::Options,
}

impl process::Settings for Settings {
    fn log(&self) -> &sections::Log {
        &self.log
    }
}

impl Section for Settings {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            vm: reader.section("vm"),
            platform: reader.section("platform"),
            peers: reader.section("peers"),
            operator: reader.section("operator"),
            place: reader.section("place"),
            log: reader.section("log"),
            metrics: reader.section("metrics"),
        }
    }
}

impl Section for Operator {
    fn read(reader: &mut Reader<'_>) -> Self {
        let listen = |text: &str| address(text).map(|address| address.to_string());
        let token = |text: &str| (text.len() >= TOKEN_MIN_CHARS).then(|| text.to_owned());
        Self {
            listen: reader.required("listen", "127.0.0.1:7100", "an IP address and port", listen),
            grace: reader.millis("grace_ms", 2_000, 0..=600_000),
            tokens: reader.table("tokens", TOKEN_ALLOWED, token),
        }
    }
}

impl Section for Place {
    fn read(reader: &mut Reader<'_>) -> Self {
        let mut options = place::Options::default();
        let planner = &mut options.planner;
        planner.policy = reader.choice("policy", Policy::default());
        planner.loads_per_s = small(
            reader,
            "loads_per_s",
            planner.loads_per_s,
            "loads per second",
        );
        planner.loads_in_flight =
            small(reader, "loads_in_flight", planner.loads_in_flight, "loads");
        planner.adapters_in_flight = small(
            reader,
            "adapters_in_flight",
            planner.adapters_in_flight,
            "adapter loads",
        );
        planner.engine_rate = reader.number(
            "engine_rate",
            planner.engine_rate,
            1..=10_000_000,
            "tokens per second",
        );
        planner.move_price = reader.number(
            "move_price",
            planner.move_price,
            0..=10_000_000,
            "tokens per second",
        );
        planner.hold_ms = reader.number("hold_ms", planner.hold_ms, 0..=3_600_000, "ms");
        options.interval = reader.millis("interval_ms", 500, 50..=60_000);
        options.order_lateness = reader.millis("order_lateness_ms", 10_000, 0..=600_000);
        options.repeat = reader.millis("order_repeat_ms", 2_000, 100..=60_000);
        Self { options }
    }
}

/// Reads a small number of at least 1.
fn small(reader: &mut Reader<'_>, key: &'static str, default: u32, unit: &str) -> u32 {
    let number = reader.number(key, default.into(), 1..=100_000, unit);
    u32::try_from(number).unwrap_or(default)
}
