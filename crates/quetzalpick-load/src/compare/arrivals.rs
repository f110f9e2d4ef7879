//! Generates seeded arrivals with a load peak, and models the load balancer in front of the gates.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use strum::{Display, VariantArray};

use crate::compare::scheme::Request;

/// Number of gates.
pub(crate) const GATES: usize = 8;

/// Duration of one run in virtual time, in ms.
pub(crate) const RUN_MS: u64 = 180_000;

/// Quotas of the workspaces, in tokens per second.
pub(crate) const RATES: [u64; 5] = [400, 700, 1_000, 2_000, 4_000];

/// Index of the workspace that sends several times its rate during the peak.
pub(crate) const FLOODING_WORKSPACE: usize = 2;

/// Burst of a workspace, in seconds of its rate.
pub(crate) const BURST_S: u64 = 8;

/// Time between two changes of the preferred gates with `Balancer::Moving`, in ms.
const MOVE_INTERVAL_MS: u64 = 15_000;

/// Time step in which arrivals are generated, in ms.
const STEP_MS: u64 = 5;

/// `Balancer` selects how the load balancer distributes requests over the gates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Balancer {
    /// Evenly over all gates.
    Even,
    /// Six in ten to one gate, two in ten to another, the rest evenly over all gates.
    Skewed,
    /// Seven in ten of a workspace's requests to one gate, which changes at regular intervals; the rest evenly.
    Moving,
    /// Evenly over all gates, one of which becomes unreachable during the load peak.
    #[strum(serialize = "gate-lost")]
    #[serde(rename = "gate-lost")]
    GateUnreachable,
}

/// Gate that becomes unreachable; in `SingleOwner` it owns the bucket of a large workspace that stays within its rate.
pub(crate) const UNREACHABLE_GATE: usize = 3;

/// Time from which this gate is unreachable, in ms; the balancer skips it from then on.
pub(crate) const UNREACHABLE_FROM_MS: u64 = 75_000;

/// Time from the failure of the gate to its retirement, in ms: it is suspected first, and its lease has to expire.
pub(crate) const RETIREMENT_DELAY_MS: u64 = 15_000;

/// `Arrival` describes one request, the time at which it arrives and the tokens that it will use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) request: Request,
    /// Charged tokens that the request will not use.
    pub(crate) unused: u64,
    /// Duration of the request, in ms.
    pub(crate) duration_ms: u64,
}

/// Returns the load in thousandths of the rate: low, with a peak in the middle third.
fn load_permille(workspace: usize, at_ms: u64) -> u64 {
    let is_peak = (RUN_MS / 3..2 * RUN_MS / 3).contains(&at_ms);
    match (workspace == FLOODING_WORKSPACE, is_peak) {
        (true, true) => 4_000,
        (false, true) => 800,
        (_, false) => 250,
    }
}

/// Chooses the gate of a request at random, as the balancer does.
fn choose_gate(balancer: Balancer, workspace: usize, at_ms: u64, random: &mut Pcg64Mcg) -> usize {
    let even_choice = random.random_range(0..GATES);
    let draw = random.random_range(0..10);
    match balancer {
        Balancer::Skewed if draw < 6 => 0,
        Balancer::Skewed if draw < 8 => 1,
        Balancer::Moving if draw < 7 => {
            let moves = usize::try_from(at_ms / MOVE_INTERVAL_MS).unwrap_or(0);
            (moves * 3 + workspace) % GATES
        }
        // The unreachable gate's requests go to the next gate.
        Balancer::GateUnreachable
            if even_choice == UNREACHABLE_GATE && at_ms >= UNREACHABLE_FROM_MS =>
        {
            UNREACHABLE_GATE + 1
        }
        _ => even_choice,
    }
}

/// Returns the arrivals for a seed; requests and times are the same for every balancer.
pub(crate) fn arrivals(seed: u64, balancer: Balancer) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut gate_random = Pcg64Mcg::seed_from_u64(seed ^ u64::MAX);
    let mut arrivals = Vec::new();
    for at_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        for (workspace, rate) in RATES.iter().enumerate() {
            // Workspaces with higher rates send larger requests, so that all send a similar number of requests. On
            // average a quarter of the charged tokens is unused, so the load is divided by 0.75.
            let max_tokens = rate / 2;
            let mean_tokens = max_tokens / 2;
            let per_step = rate * load_permille(workspace, at_ms) * STEP_MS;
            let probability = per_step as f64 / (mean_tokens * 1_000_000) as f64 / 0.75;
            if !random.random_bool(probability.min(1.0)) {
                continue;
            }
            let tokens = random.random_range(1..=max_tokens);
            let unused = random.random_range(0..=tokens / 2);
            let duration_ms = random.random_range(500..5_000);
            let gate = choose_gate(balancer, workspace, at_ms, &mut gate_random);
            arrivals.push(Arrival {
                at_ms,
                request: Request {
                    gate,
                    workspace,
                    tokens,
                },
                unused,
                duration_ms,
            });
        }
    }
    arrivals
}
