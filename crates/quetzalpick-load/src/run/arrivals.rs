//! Generates the arrivals of a run, which depend only on the scenario and its seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

use crate::run::scenario::{Balance, Scenario, Shape};

/// `RequestKind` selects the operation of a request and holds its parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// A chat completion.
    Chat {
        /// Model or adapter.
        artifact: String,
        /// Prompt.
        prompt: String,
        /// Length of the answer, in tokens.
        tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A booking, which must be executed at most once.
    Booking {
        /// Order id, also sent as the idempotency key.
        order: String,
    },
}

/// `Arrival` describes one request and the time at which it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Arrival {
    /// Sequence number within the run.
    pub number: u32,
    /// Time since the start of the run, in us.
    pub at_us: u64,
    /// Index of the sending workspace in the scenario.
    pub workspace: usize,
    /// Index of the gate in the scenario.
    pub gate: usize,
    /// Operation and its parameters.
    pub kind: RequestKind,
}

/// Words that prompts are composed of.
const WORDS: &[&str] = &[
    "draft", "menu", "embassy", "confirm", "butter", "cream", "tomorrow", "cold", "chain", "order",
];
/// Prompt templates of a workspace; prompts of one template share a prefix.
const TEMPLATES_PER_WORKSPACE: u32 = 4;

/// Returns all arrivals of a run, sorted by time.
pub fn schedule(scenario: &Scenario) -> Vec<Arrival> {
    let mut random = Pcg64::seed_from_u64(scenario.seed);
    let end_us = u64::from(scenario.seconds) * 1_000_000;
    let mean_gap_us = 1_000_000.0 / f64::from(scenario.requests_per_s);
    let mut arrivals = Vec::new();
    let mut now_us = 0.0_f64;
    loop {
        // Poisson arrivals at the peak rate, thinned to the current rate.
        now_us += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() * mean_gap_us;
        if now_us >= end_us as f64 {
            return arrivals;
        }
        let progress = now_us / end_us as f64;
        if random.random::<f64>() < relative_rate(scenario.shape, progress) {
            let number = arrivals.len() as u32;
            arrivals.push(draw_arrival(
                scenario,
                number,
                now_us as u64,
                progress,
                &mut random,
            ));
        }
    }
}

/// Returns the request rate relative to the peak rate; `progress` is the elapsed fraction of the run.
fn relative_rate(shape: Shape, progress: f64) -> f64 {
    const BASELINE: f64 = 0.15;
    match shape {
        Shape::Flat => 1.0,
        Shape::Lunch if progress < 0.3 => BASELINE + (1.0 - BASELINE) * progress / 0.3,
        Shape::Lunch if progress < 0.7 => 1.0,
        Shape::Lunch => BASELINE + (1.0 - BASELINE) * (1.0 - progress) / 0.3,
        Shape::Dawn if progress < 0.1 => BASELINE,
        Shape::Dawn => (BASELINE - 0.1) + (1.1 - BASELINE) * (-(progress - 0.1) * 2.5).exp(),
    }
}

/// Draws the workspace, the gate and the operation of one arrival.
fn draw_arrival(
    scenario: &Scenario,
    number: u32,
    at_us: u64,
    progress: f64,
    random: &mut Pcg64,
) -> Arrival {
    let workspace = weighted_index(scenario.workspaces.iter().map(|w| w.weight), random);
    let gate = match scenario.balance {
        Balance::Skewed if random.random_range(0..4) > 0 => 0,
        _ => random.random_range(0..scenario.gates.len()),
    };
    let is_booking =
        scenario.service.is_some() && random.random_range(0..100) < scenario.bookings_percent;
    let kind = if is_booking {
        RequestKind::Booking {
            order: format!("{}-{}-{number}", scenario.name, scenario.seed),
        }
    } else {
        draw_chat(scenario, workspace, progress, random)
    };
    Arrival {
        number,
        at_us,
        workspace,
        gate,
        kind,
    }
}

/// Draws the artifact and the parameters of a chat completion.
fn draw_chat(
    scenario: &Scenario,
    workspace: usize,
    progress: f64,
    random: &mut Pcg64,
) -> RequestKind {
    let weight = |artifact: &crate::run::scenario::Artifact| match artifact.later_weight {
        Some(later) if progress >= 0.5 => later,
        _ => artifact.weight,
    };
    let artifact = weighted_index(scenario.artifacts.iter().map(weight), random);
    let (min_bytes, max_bytes) = scenario.prompt_bytes;
    let bytes = random.random_range(min_bytes..=max_bytes) as usize;
    let (min_tokens, max_tokens) = scenario.output_tokens;
    RequestKind::Chat {
        artifact: scenario.artifacts[artifact].name.clone(),
        prompt: draw_prompt(workspace, bytes, random),
        tokens: random.random_range(min_tokens..=max_tokens),
        stream: random.random(),
    }
}

/// Draws a prompt whose first half is one of the workspace's templates.
fn draw_prompt(workspace: usize, bytes: usize, random: &mut Pcg64) -> String {
    let template = random.random_range(0..TEMPLATES_PER_WORKSPACE);
    let mut template_random = Pcg64::seed_from_u64((workspace as u64) << 8 | u64::from(template));
    let mut text = format!("{workspace}/{template}");
    while text.len() < bytes {
        let source = if text.len() < bytes / 2 {
            &mut template_random
        } else {
            &mut *random
        };
        text.push(' ');
        text.push_str(WORDS[source.random_range(0..WORDS.len())]);
    }
    text
}

/// Draws an index with a probability proportional to its weight.
fn weighted_index(weights: impl Iterator<Item = u32> + Clone, random: &mut Pcg64) -> usize {
    let total: u32 = weights.clone().sum();
    let mut remaining = random.random_range(0..total.max(1));
    for (index, weight) in weights.enumerate() {
        if remaining < weight {
            return index;
        }
        remaining -= weight;
    }
    0
}
