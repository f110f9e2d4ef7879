//! One run of a scheme over arrivals.

use quetzalpick_core::quota::{Charge, Quota, Receipt};

use crate::compare::arrivals::{Arrival, Balancer, FLOODER, LOST_GATE, LOST_MS, RATES, RETIRE_MS};
use crate::compare::gates::{burst, gates, workspace};
use crate::compare::rate_audit::Allowance;
use crate::compare::scheme::Scheme;

/// Time between two ticks, in ms.
const TICK_MS: u64 = 250;

/// `Figures` are the results of one run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Figures {
    /// Requests of the workspaces that keep to their rate that were refused although one bucket for the whole fleet
    /// would have admitted them, in millionths.
    pub(crate) refused_within_ppm: u64,
    /// The same for the worst-served of these workspaces.
    pub(crate) worst_refused_ppm: u64,
    /// Tokens that the flooding workspace got.
    pub(crate) flooder_tokens: u64,
    /// Tokens beyond burst + rate x window in the worst window of any workspace.
    pub(crate) worst_excess: u64,
    /// Messages for a thousand requests.
    pub(crate) messages_permille: u64,
    /// Requests.
    pub(crate) requests: u64,
}

/// `Counts` are the counts of one workspace.
#[derive(Debug, Clone, Default)]
struct Counts {
    requests: u64,
    refused_within: u64,
    admitted_tokens: u64,
    allowance: Allowance,
}

/// `Running` is an admitted request that ends at a time.
struct Running<R> {
    ends_ms: u64,
    arrival: Arrival,
    receipt: R,
    reference: Option<Receipt>,
}

/// Runs a scheme over arrivals beside one bucket that is charged with what the scheme admits.
pub(crate) fn simulate<S: Scheme>(
    arrivals: &[Arrival],
    balancer: Balancer,
    mut scheme: S,
) -> Figures {
    let (_, _, mut references) = gates(1);
    let reference = &mut references[0];
    let mut counts = vec![Counts::default(); RATES.len()];
    let mut running: Vec<Running<S::Receipt>> = Vec::new();
    let mut next_tick_ms = 0;
    let mut losses = Losses::new(balancer);
    for arrival in arrivals {
        let now_ms = arrival.at_ms;
        finish(now_ms, &mut running, &mut scheme, reference);
        while next_tick_ms <= now_ms {
            scheme.tick(next_tick_ms);
            next_tick_ms += TICK_MS;
        }
        losses.apply(now_ms, &mut scheme);
        let request = &arrival.request;
        let count = &mut counts[request.workspace];
        count.requests += 1;
        let name = workspace(request.workspace);
        let allowed = match reference.charge(now_ms, &name, request.tokens) {
            Charge::Granted(receipt) => Some(receipt),
            _ => None,
        };
        match scheme.admit(now_ms, request) {
            Some(receipt) => {
                count.admitted_tokens += request.tokens - arrival.unused;
                count
                    .allowance
                    .spend(now_ms, request.tokens - arrival.unused);
                running.push(Running {
                    ends_ms: now_ms + arrival.runs_ms,
                    arrival: *arrival,
                    receipt,
                    reference: allowed,
                });
            }
            // The reference follows the scheme, so it gives back what the scheme did not admit.
            None => {
                if let Some(receipt) = allowed {
                    count.refused_within += 1;
                    reference.refund(now_ms, receipt, request.tokens);
                }
            }
        }
    }
    figures(&counts, scheme.messages())
}

/// `Losses` are the events of a lost gate that are still to come.
#[derive(Debug)]
struct Losses {
    lost_ms: u64,
    retired_ms: u64,
}

impl Losses {
    fn new(balancer: Balancer) -> Self {
        if balancer == Balancer::GateLost {
            Self {
                lost_ms: LOST_MS,
                retired_ms: LOST_MS + RETIRE_MS,
            }
        } else {
            Self {
                lost_ms: u64::MAX,
                retired_ms: u64::MAX,
            }
        }
    }

    fn apply(&mut self, now_ms: u64, scheme: &mut impl Scheme) {
        if now_ms >= self.lost_ms {
            self.lost_ms = u64::MAX;
            scheme.lose(LOST_GATE);
        }
        if now_ms >= self.retired_ms {
            self.retired_ms = u64::MAX;
            scheme.retire(now_ms, LOST_GATE);
        }
    }
}

/// Ends the requests that are due, the earliest first.
fn finish<S: Scheme>(
    now_ms: u64,
    running: &mut Vec<Running<S::Receipt>>,
    scheme: &mut S,
    reference: &mut Quota,
) {
    running.sort_by_key(|request| std::cmp::Reverse(request.ends_ms));
    while running.last().is_some_and(|last| last.ends_ms <= now_ms) {
        let Some(ended) = running.pop() else {
            return;
        };
        let unused = ended.arrival.unused;
        scheme.refund(ended.ends_ms, &ended.arrival.request, ended.receipt, unused);
        if let Some(receipt) = ended.reference {
            reference.refund(ended.ends_ms, receipt, unused);
        }
    }
}

fn figures(counts: &[Counts], messages: u64) -> Figures {
    let requests: u64 = counts.iter().map(|count| count.requests).sum();
    let keeping = || counts.iter().enumerate().filter(|(at, _)| *at != FLOODER);
    let kept: u64 = keeping().map(|(_, count)| count.requests).sum();
    let refused: u64 = keeping().map(|(_, count)| count.refused_within).sum();
    let worst = keeping().map(|(_, c)| c.refused_within * 1_000_000 / c.requests.max(1));
    let excess = counts.iter().enumerate();
    let excess = excess.map(|(at, c)| c.allowance.worst_excess(RATES[at], burst(at)));
    Figures {
        refused_within_ppm: refused * 1_000_000 / kept.max(1),
        worst_refused_ppm: worst.max().unwrap_or(0),
        flooder_tokens: counts[FLOODER].admitted_tokens,
        worst_excess: excess.max().unwrap_or(0),
        messages_permille: messages * 1_000 / requests.max(1),
        requests,
    }
}
