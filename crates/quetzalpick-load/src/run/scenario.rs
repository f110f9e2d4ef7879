//! The scenario file: what a run sends, and the targets that it is measured against.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// `Shape` selects how the request rate varies over a run.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Shape {
    /// Constant peak rate.
    #[default]
    Flat,
    /// Linear rise to a plateau at the peak rate, then a linear fall.
    Lunch,
    /// Low rate at first, a jump to the peak rate, then an exponential decay.
    Dawn,
}

/// `Balance` selects how the load balancer distributes requests over the gates.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Balance {
    /// Evenly over all gates.
    #[default]
    Even,
    /// Three in four to the first gate, the others evenly over all gates.
    Skewed,
}

/// `Workspace` describes one sender of requests and its quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// API key; left out of reports.
    #[serde(skip_serializing)]
    pub key: String,
    /// Quota, in tokens per second.
    pub rate: u64,
    /// Burst, in tokens.
    pub burst: u64,
    /// Share of all requests, relative to the other workspaces' weights.
    pub weight: u32,
}

/// `Artifact` describes a model or an adapter and the share of the chats that name it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Artifact {
    /// Name.
    pub name: String,
    /// Share of all chats in the first half of a run, relative to the other artifacts' weights.
    pub weight: u32,
    /// Weight in the second half; `weight` if left out.
    #[serde(default)]
    pub later_weight: Option<u32>,
}

/// `Process` identifies a process whose resource usage is measured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Name in the report.
    pub name: String,
    /// Process id.
    pub pid: u32,
}

/// `LatencyTargets` holds the maximum latencies at which an answer counts as attained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LatencyTargets {
    /// Maximum time to the first token, in ms.
    pub first_token_ms: u64,
    /// Maximum mean time between tokens, in ms.
    pub between_tokens_ms: u64,
}

impl Default for LatencyTargets {
    fn default() -> Self {
        Self {
            first_token_ms: 1_800,
            between_tokens_ms: 28,
        }
    }
}

/// `Scenario` describes a run; every request follows from the scenario and its seed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Duration of the run, in s.
    pub seconds: u32,
    /// Peak rate, in requests per second.
    pub requests_per_s: u32,
    /// How the rate varies over the run.
    #[serde(default)]
    pub shape: Shape,
    /// How requests are distributed over the gates.
    #[serde(default)]
    pub balance: Balance,
    /// IP addresses and ports of the gates.
    pub gates: Vec<String>,
    /// Workspaces that send requests.
    pub workspaces: Vec<Workspace>,
    /// Models and adapters that chats name.
    pub artifacts: Vec<Artifact>,
    /// Service that bookings are sent to; without one, none are sent.
    #[serde(default)]
    pub service: Option<String>,
    /// Percentage of requests that are bookings.
    #[serde(default)]
    pub bookings_percent: u32,
    /// Minimum and maximum size of a prompt, in bytes.
    pub prompt_bytes: (u32, u32),
    /// Minimum and maximum length of an answer, in tokens.
    pub output_tokens: (u32, u32),
    /// Timeout for the head of an answer and for each further part of it, in ms.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
    /// Latencies that answers are measured against.
    #[serde(default)]
    pub targets: LatencyTargets,
    /// Number of serving accelerators, for the attainment per accelerator.
    pub accelerators: u32,
    /// Addresses of engine stand-ins whose records are read at the end.
    #[serde(default)]
    pub engines: Vec<String>,
    /// Addresses of service stand-ins whose records are read at the end.
    #[serde(default)]
    pub services: Vec<String>,
    /// Processes whose resource usage is measured.
    #[serde(default)]
    pub processes: Vec<Process>,
}

impl Scenario {
    /// Parses and validates a scenario in TOML.
    ///
    /// # Errors
    ///
    /// Returns a description of the error; for invalid TOML it includes the line.
    pub fn try_from_toml(text: &str) -> Result<Self, String> {
        let scenario: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        scenario.validate().map(|()| scenario)
    }

    /// Checks the constraints that the types do not express.
    fn validate(&self) -> Result<(), String> {
        let rules = [
            (
                self.seconds > 0 && self.seconds <= 3_600,
                "seconds must be 1 to 3600",
            ),
            (
                self.requests_per_s > 0 && self.requests_per_s <= 20_000,
                "requests_per_s must be 1 to 20000",
            ),
            (!self.gates.is_empty(), "gates must name at least one"),
            (
                self.workspaces.iter().any(|w| w.weight > 0),
                "a workspace must have weight",
            ),
            (
                self.artifacts.iter().any(|a| a.weight > 0),
                "an artifact must have weight",
            ),
            (
                self.prompt_bytes.0 <= self.prompt_bytes.1 && self.prompt_bytes.0 > 0,
                "prompt_bytes must be [min, max]",
            ),
            (
                self.output_tokens.0 <= self.output_tokens.1 && self.output_tokens.0 > 0,
                "output_tokens must be [min, max]",
            ),
            (
                self.bookings_percent <= 100,
                "bookings_percent must be 0 to 100",
            ),
        ];
        match rules.iter().find(|(holds, _)| !holds) {
            Some((_, message)) => Err((*message).to_owned()),
            None => Ok(()),
        }
    }
}
