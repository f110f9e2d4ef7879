//! Seeded arrivals shaped like a rush, and the balancer in front of the gates.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use strum::{Display, VariantArray};

use crate::compare::scheme::Request;

/// Gates in the comparison.
pub(crate) const GATES: usize = 8;

/// Virtual time of one run, in ms.
pub(crate) const RUN_MS: u64 = 180_000;

/// Rates of the workspaces, in tokens per second.
pub(crate) const RATES: [u64; 5] = [400, 700, 1_000, 2_000, 4_000];

/// The workspace that sends several times its rate.
pub(crate) const FLOODER: usize = 2;

/// Seconds of its rate that a workspace may spend at once.
pub(crate) const BURST_S: u64 = 8;

/// Time between two moves of the moving balancer, in ms.
const MOVE_MS: u64 = 15_000;

/// Steps of the arrivals, in ms.
const STEP_MS: u64 = 5;

/// `Balancer` is the way in which requests reach the gates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Balancer {
    /// All gates get the same.
    Even,
    /// One gate gets six in ten, another two in ten.
    Skewed,
    /// A gate gets seven in ten of a workspace's requests, and it changes from time to time.
    Moving,
    /// All gates get the same, and one gate is lost within the rush.
    GateLost,
}

/// The gate that is lost; it owns the large workspace that keeps to its rate.
pub(crate) const LOST_GATE: usize = 3;

/// Time at which it is lost, in ms; the balancer passes it over from then on.
pub(crate) const LOST_MS: u64 = 75_000;

/// Time from the loss to the retirement of the gate, in ms: suspicion, and the lease that has to run out.
pub(crate) const RETIRE_MS: u64 = 15_000;

/// `Arrival` is one request with its time and what it will have used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) request: Request,
    /// Tokens that it will not have used.
    pub(crate) unused: u64,
    /// Time that it runs, in ms.
    pub(crate) runs_ms: u64,
}

/// Returns the load as thousandths of the rate: low, a rush in the middle third, low.
fn shape_permille(workspace: usize, at_ms: u64) -> u64 {
    let middle = (RUN_MS / 3..2 * RUN_MS / 3).contains(&at_ms);
    match (workspace == FLOODER, middle) {
        (true, true) => 4_000,
        (false, true) => 800,
        (_, false) => 250,
    }
}

/// Chooses the gate of a request.
fn balance(balancer: Balancer, workspace: usize, at_ms: u64, random: &mut Pcg64Mcg) -> usize {
    let any = random.random_range(0..GATES);
    let draw = random.random_range(0..10);
    match balancer {
        Balancer::Skewed if draw < 6 => 0,
        Balancer::Skewed if draw < 8 => 1,
        Balancer::Moving if draw < 7 => {
            let moves = usize::try_from(at_ms / MOVE_MS).unwrap_or(0);
            (moves * 3 + workspace) % GATES
        }
        // The balancer sends what the lost gate would get to its neighbour.
        Balancer::GateLost if any == LOST_GATE && at_ms >= LOST_MS => LOST_GATE + 1,
        _ => any,
    }
}

/// Returns the arrivals of a seed, the same requests at the same times for every balancer.
pub(crate) fn arrivals(seed: u64, balancer: Balancer) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut gates = Pcg64Mcg::seed_from_u64(seed ^ u64::MAX);
    let mut arrivals = Vec::new();
    for at_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        for (workspace, rate) in RATES.iter().enumerate() {
            // Larger workspaces send larger requests, so that numbers of requests stay alike. Half of what is charged
            // is used in the mean, so twice as much is asked for.
            let largest = rate / 2;
            let mean = largest / 2;
            let per_step = rate * shape_permille(workspace, at_ms) * STEP_MS;
            let chance = per_step as f64 / (mean * 1_000_000) as f64 / 0.75;
            if !random.random_bool(chance.min(1.0)) {
                continue;
            }
            let tokens = random.random_range(1..=largest);
            let unused = random.random_range(0..=tokens / 2);
            let runs_ms = random.random_range(500..5_000);
            let gate = balance(balancer, workspace, at_ms, &mut gates);
            arrivals.push(Arrival {
                at_ms,
                request: Request {
                    gate,
                    workspace,
                    tokens,
                },
                unused,
                runs_ms,
            });
        }
    }
    arrivals
}
