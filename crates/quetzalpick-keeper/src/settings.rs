//! Settings of the keeper.

use std::fmt;
use std::time::Duration;

use quetzalpick_core::plan::Policy;
use quetzalpick_node::process;
use quetzalpick_node::settings::sections::{self, address};
use quetzalpick_node::settings::{Reader, Section};

use crate::place;

/// Minimum length of an operator's token, in bytes.
const TOKEN_MIN_BYTES: usize = 16;
/// Description of a valid token in messages and default settings.
const TOKEN_DESCRIPTION: &str = "a token of 16 characters or more";

/// `Settings` contains all sections of a keeper's settings file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name and failure domain of the VM.
    pub vm: sections::Vm,
    /// Addresses of the platform's services.
    pub platform: sections::Platform,
    /// Exchange between peers.
    pub peers: sections::Peers,
    /// Operator API.
    pub operator: Operator,
    /// Placement of models and adapters.
    pub place: Place,
    /// Log output.
    pub log: sections::Log,
    /// Admin listener.
    pub metrics: sections::Metrics,
}

/// `Operator` configures the operator API.
#[derive(Clone)]
pub struct Operator {
    /// Address to listen on.
    pub listen: String,
    /// Pairs of an operator's name and token, sorted by name.
    pub tokens: Vec<(String, String)>,
    /// Time between reporting unready and refusing connections, so that the load balancer can react.
    pub grace: Duration,
}

impl fmt::Debug for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Tokens are left out because settings are logged.
        f.debug_struct("Operator")
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

/// `Place` configures placement.
#[derive(Debug, Clone)]
pub struct Place {
    /// Options of the placement leader and its planner.
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
        let token = |text: &str| (text.len() >= TOKEN_MIN_BYTES).then(|| text.to_owned());
        Self {
            listen: reader.required("listen", "127.0.0.1:7100", "an IP address and port", listen),
            grace: reader.millis("grace_ms", 2_000, 0..=600_000),
            tokens: reader.table("tokens", TOKEN_DESCRIPTION, token),
        }
    }
}

impl Section for Place {
    fn read(reader: &mut Reader<'_>) -> Self {
        let mut options = place::Options::default();
        let planner = &mut options.planner;
        planner.policy = reader.choice("policy", Policy::default());
        planner.loads_per_s = read_count(
            reader,
            "loads_per_s",
            planner.loads_per_s,
            "loads per second",
        );
        planner.loads_in_flight =
            read_count(reader, "loads_in_flight", planner.loads_in_flight, "loads");
        planner.adapters_in_flight = read_count(
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
        options.round_interval = reader.millis("interval_ms", 500, 50..=60_000);
        options.order_lateness = reader.millis("order_lateness_ms", 10_000, 0..=600_000);
        options.resend_interval = reader.millis("order_repeat_ms", 2_000, 100..=60_000);
        Self { options }
    }
}

/// Reads a number from 1 to 100,000.
fn read_count(reader: &mut Reader<'_>, key: &'static str, default: u32, unit: &str) -> u32 {
    let number = reader.number(key, default.into(), 1..=100_000, unit);
    u32::try_from(number).unwrap_or(default)
}
