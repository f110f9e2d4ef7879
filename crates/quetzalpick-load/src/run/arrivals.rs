//! The arrivals of a run, fixed by the scenario and its seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

use crate::run::scenario::{Balance, Scenario, Shape};

/// `Kind` is what a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A chat completion.
    Chat {
        /// Model or adapter.
        artifact: String,
        /// Prompt.
        prompt: String,
        /// Tokens of the answer.
        tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A booking, which must run at most once.
    Booking {
        /// Number of the order.
        order: String,
    },
}

/// `Arrival` is one request with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Arrival {
    /// Number within the run.
    pub number: u32,
    /// Time since the start of the run, in us.
    pub at_us: u64,
    /// Index of the sender.
    pub workspace: usize,
    /// Index of the gate.
    pub gate: usize,
    /// What is asked for.
    pub kind: Kind,
}

/// Words of which prompts are made.
const WORDS: &[&str] = &[
    "draft", "menu", "embassy", "confirm", "butter", "cream", "tomorrow", "cold", "chain", "order",
];
/// Prompts of one workspace that begin alike, as templates do.
const TEMPLATES: u32 = 4;

/// Returns all arrivals of a run in order of time.
pub fn schedule(scenario: &Scenario) -> Vec<Arrival> {
    let mut random = Pcg64::seed_from_u64(scenario.seed);
    let end_us = u64::from(scenario.seconds) * 1_000_000;
    let mean_gap_us = 1_000_000.0 / f64::from(scenario.requests_per_s);
    let mut arrivals = Vec::new();
    let mut at = 0.0_f64;
    loop {
        // Arrivals at the peak rate are thinned to the rate of the moment.
        at += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() * mean_gap_us;
        if at >= end_us as f64 {
            return arrivals;
        }
        let part = at / end_us as f64;
        if random.random::<f64>() < level(scenario.shape, part) {
            let number = arrivals.len() as u32;
            arrivals.push(arrival(scenario, number, at as u64, part, &mut random));
        }
    }
}

/// Returns the rate at a part of the run, as a part of the peak rate.
fn level(shape: Shape, part: f64) -> f64 {
    const REST: f64 = 0.15;
    match shape {
        Shape::Flat => 1.0,
        Shape::Lunch if part < 0.3 => REST + (1.0 - REST) * part / 0.3,
        Shape::Lunch if part < 0.7 => 1.0,
        Shape::Lunch => REST + (1.0 - REST) * (1.0 - part) / 0.3,
        Shape::Dawn if part < 0.1 => REST,
        Shape::Dawn => (REST - 0.1) + (1.1 - REST) * (-(part - 0.1) * 2.5).exp(),
    }
}

/// Draws one arrival.
fn arrival(scenario: &Scenario, number: u32, at_us: u64, part: f64, random: &mut Pcg64) -> Arrival {
    let workspace = pick(scenario.workspaces.iter().map(|w| w.weight), random);
    let gate = match scenario.balance {
        Balance::Skewed if random.random_range(0..4) > 0 => 0,
        _ => random.random_range(0..scenario.gates.len()),
    };
    let books =
        scenario.service.is_some() && random.random_range(0..100) < scenario.bookings_percent;
    let kind = if books {
        Kind::Booking {
            order: format!("{}-{}-{number}", scenario.name, scenario.seed),
        }
    } else {
        chat(scenario, workspace, part, random)
    };
    Arrival {
        number,
        at_us,
        workspace,
        gate,
        kind,
    }
}

/// Draws a chat.
fn chat(scenario: &Scenario, workspace: usize, part: f64, random: &mut Pcg64) -> Kind {
    let weight = |artifact: &crate::run::scenario::Artifact| match artifact.later_weight {
        Some(later) if part >= 0.5 => later,
        _ => artifact.weight,
    };
    let artifact = pick(scenario.artifacts.iter().map(weight), random);
    let (least, most) = scenario.prompt_bytes;
    let bytes = random.random_range(least..=most) as usize;
    let (fewest, longest) = scenario.output_tokens;
    Kind::Chat {
        artifact: scenario.artifacts[artifact].name.clone(),
        prompt: prompt(workspace, bytes, random),
        tokens: random.random_range(fewest..=longest),
        stream: random.random(),
    }
}

/// Draws a prompt: its first half is one of the workspace's templates.
fn prompt(workspace: usize, bytes: usize, random: &mut Pcg64) -> String {
    let template = random.random_range(0..TEMPLATES);
    let mut fixed = Pcg64::seed_from_u64((workspace as u64) << 8 | u64::from(template));
    let mut text = format!("{workspace}/{template}");
    while text.len() < bytes {
        let source = if text.len() < bytes / 2 {
            &mut fixed
        } else {
            &mut *random
        };
        text.push(' ');
        text.push_str(WORDS[source.random_range(0..WORDS.len())]);
    }
    text
}

/// Draws an index by weight.
fn pick(weights: impl Iterator<Item = u32> + Clone, random: &mut Pcg64) -> usize {
    let total: u32 = weights.clone().sum();
    let mut left = random.random_range(0..total.max(1));
    for (at, weight) in weights.enumerate() {
        if left < weight {
            return at;
        }
        left -= weight;
    }
    0
}
