//! What a run sends, and what it is measured against.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// `Shape` is the course of the request rate over a run.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Shape {
    /// The peak rate all the time.
    #[default]
    Flat,
    /// A slow rise to a plateau in the middle, and a slow fall.
    Lunch,
    /// A sudden start at full rate that ebbs away.
    Dawn,
}

/// `Balance` is how the balancer before the gates spreads requests.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Balance {
    /// To all gates alike.
    #[default]
    Even,
    /// Three in four to the first gate.
    Skewed,
}

/// `Workspace` is one sender of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Its key; left out of reports.
    #[serde(skip_serializing)]
    pub key: String,
    /// Tokens per second that it may spend.
    pub rate: u64,
    /// Tokens that it may spend at once.
    pub burst: u64,
    /// Part of all requests, relative to the other workspaces' weights.
    pub weight: u32,
}

/// `Artifact` is a model or adapter that requests name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Artifact {
    /// Name.
    pub name: String,
    /// Part of all chats in the first half of a run, relative to the others.
    pub weight: u32,
    /// The same for the second half; the first half's weight if left out.
    #[serde(default)]
    pub later_weight: Option<u32>,
}

/// `Process` is a process whose cost is measured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Name in the report.
    pub name: String,
    /// Its process id.
    pub pid: u32,
}

/// `Targets` are the times that an answer is measured against.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Targets {
    /// Longest time to the first token, in ms.
    pub first_token_ms: u64,
    /// Longest mean time between tokens, in ms.
    pub between_tokens_ms: u64,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            first_token_ms: 1_800,
            between_tokens_ms: 28,
        }
    }
}

/// `Scenario` describes a run; together with its seed it fixes every request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length of the run, in s.
    pub seconds: u32,
    /// Peak rate, in requests per second.
    pub requests_per_s: u32,
    /// Course of the rate.
    #[serde(default)]
    pub shape: Shape,
    /// How requests are spread over the gates.
    #[serde(default)]
    pub balance: Balance,
    /// IP addresses and ports of the gates.
    pub gates: Vec<String>,
    /// Senders.
    pub workspaces: Vec<Workspace>,
    /// Models and adapters that chats name.
    pub artifacts: Vec<Artifact>,
    /// Service that takes bookings; without one there are none.
    #[serde(default)]
    pub service: Option<String>,
    /// Bookings in 100 requests.
    #[serde(default)]
    pub bookings_percent: u32,
    /// Fewest and most bytes of a prompt.
    pub prompt_bytes: (u32, u32),
    /// Fewest and most tokens of an answer.
    pub output_tokens: (u32, u32),
    /// Longest time that a caller waits for an answer to end, in ms.
    pub patience_ms: u64,
    /// Times that answers are measured against.
    #[serde(default)]
    pub targets: Targets,
    /// Accelerators that serve, for attainment per accelerator.
    pub accelerators: u32,
    /// Engine stand-ins whose records are read at the end.
    #[serde(default)]
    pub engines: Vec<String>,
    /// Service stand-ins whose records are read at the end.
    #[serde(default)]
    pub services: Vec<String>,
    /// Processes whose cost is measured.
    #[serde(default)]
    pub processes: Vec<Process>,
}

impl Scenario {
    /// Reads a scenario in TOML.
    ///
    /// # Errors
    ///
    /// What is wrong and on which line.
    pub fn try_from_toml(text: &str) -> Result<Self, String> {
        let scenario: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        scenario.check().map(|()| scenario)
    }

    /// Checks what the types cannot.
    fn check(&self) -> Result<(), String> {
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
