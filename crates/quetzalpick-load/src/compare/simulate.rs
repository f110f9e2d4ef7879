//! Simulates one run of a scheme.

use quetzalpick_core::quota::{Charge, Debit, Quota};

use crate::compare::arrivals::{
    Arrival, Balancer, FLOODING_WORKSPACE, RATES, RETIREMENT_DELAY_MS, UNREACHABLE_FROM_MS,
    UNREACHABLE_GATE,
};
use crate::compare::gates::{build_fleet, burst, workspace_id};
use crate::compare::rate_audit::RateAudit;
use crate::compare::scheme::Scheme;

/// Interval between ticks, in ms.
const TICK_MS: u64 = 250;

/// `RunMetrics` holds the results of one run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunMetrics {
    /// Requests of workspaces that stay within their rate that were refused although one bucket for the fleet would
    /// have admitted them, in millionths.
    pub(crate) refused_within_ppm: u64,
    /// The same for the workspace with the highest value.
    pub(crate) worst_refused_ppm: u64,
    /// Tokens admitted for the flooding workspace.
    pub(crate) flooder_tokens: u64,
    /// Maximum, over all windows and workspaces, of the tokens used beyond burst + rate x window.
    pub(crate) worst_excess: u64,
    /// Messages per thousand requests.
    pub(crate) messages_permille: u64,
    /// Number of requests.
    pub(crate) requests: u64,
}

/// `Counts` holds the counters of one workspace.
#[derive(Debug, Clone, Default)]
struct Counts {
    requests: u64,
    refused_within_rate: u64,
    admitted_tokens: u64,
    rate_audit: RateAudit,
}

/// `InFlight` holds an admitted request until it ends at `ends_ms`.
struct InFlight<D> {
    ends_ms: u64,
    arrival: Arrival,
    debit: D,
    reference_debit: Option<Debit>,
}

/// Runs a scheme over arrivals, next to one reference bucket that is charged with what the scheme admits.
pub(crate) fn simulate<S: Scheme>(
    arrivals: &[Arrival],
    balancer: Balancer,
    mut scheme: S,
) -> RunMetrics {
    let (_, _, mut references) = build_fleet(1);
    let reference = &mut references[0];
    let mut counts = vec![Counts::default(); RATES.len()];
    let mut in_flight: Vec<InFlight<S::Debit>> = Vec::new();
    let mut next_tick_ms = 0;
    let mut outage = Outage::new(balancer);
    for arrival in arrivals {
        let now_ms = arrival.at_ms;
        complete_due(now_ms, &mut in_flight, &mut scheme, reference);
        while next_tick_ms <= now_ms {
            scheme.tick(next_tick_ms);
            next_tick_ms += TICK_MS;
        }
        outage.apply(now_ms, &mut scheme);
        let request = &arrival.request;
        let count = &mut counts[request.workspace];
        count.requests += 1;
        let name = workspace_id(request.workspace);
        let reference_debit = match reference.charge(now_ms, &name, request.tokens) {
            Charge::Granted(debit) => Some(debit),
            _ => None,
        };
        match scheme.admit(now_ms, request) {
            Some(debit) => {
                count.admitted_tokens += request.tokens - arrival.unused;
                count
                    .rate_audit
                    .record(now_ms, request.tokens - arrival.unused);
                in_flight.push(InFlight {
                    ends_ms: now_ms + arrival.duration_ms,
                    arrival: *arrival,
                    debit,
                    reference_debit,
                });
            }
            // The reference bucket is charged only with what the scheme admits, so this charge is refunded.
            None => {
                if let Some(debit) = reference_debit {
                    count.refused_within_rate += 1;
                    reference.refund(now_ms, debit, request.tokens);
                }
            }
        }
    }
    metrics(&counts, scheme.messages())
}

/// `Outage` schedules the failure and the retirement of a gate; `u64::MAX` means done or never.
#[derive(Debug)]
struct Outage {
    unreachable_from_ms: u64,
    retire_at_ms: u64,
}

impl Outage {
    fn new(balancer: Balancer) -> Self {
        if balancer == Balancer::GateUnreachable {
            Self {
                unreachable_from_ms: UNREACHABLE_FROM_MS,
                retire_at_ms: UNREACHABLE_FROM_MS + RETIREMENT_DELAY_MS,
            }
        } else {
            Self {
                unreachable_from_ms: u64::MAX,
                retire_at_ms: u64::MAX,
            }
        }
    }

    fn apply(&mut self, now_ms: u64, scheme: &mut impl Scheme) {
        if now_ms >= self.unreachable_from_ms {
            self.unreachable_from_ms = u64::MAX;
            scheme.mark_unreachable(UNREACHABLE_GATE);
        }
        if now_ms >= self.retire_at_ms {
            self.retire_at_ms = u64::MAX;
            scheme.retire(now_ms, UNREACHABLE_GATE);
        }
    }
}

/// Completes the requests that have ended by now, the earliest first.
fn complete_due<S: Scheme>(
    now_ms: u64,
    in_flight: &mut Vec<InFlight<S::Debit>>,
    scheme: &mut S,
    reference: &mut Quota,
) {
    in_flight.sort_by_key(|request| std::cmp::Reverse(request.ends_ms));
    while in_flight.last().is_some_and(|last| last.ends_ms <= now_ms) {
        let Some(completed) = in_flight.pop() else {
            return;
        };
        let unused = completed.arrival.unused;
        scheme.refund(
            completed.ends_ms,
            &completed.arrival.request,
            completed.debit,
            unused,
        );
        if let Some(debit) = completed.reference_debit {
            reference.refund(completed.ends_ms, debit, unused);
        }
    }
}

fn metrics(counts: &[Counts], messages: u64) -> RunMetrics {
    let requests: u64 = counts.iter().map(|count| count.requests).sum();
    let conforming = || {
        counts
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != FLOODING_WORKSPACE)
    };
    let conforming_requests: u64 = conforming().map(|(_, count)| count.requests).sum();
    let refused: u64 = conforming()
        .map(|(_, count)| count.refused_within_rate)
        .sum();
    let worst = conforming().map(|(_, c)| c.refused_within_rate * 1_000_000 / c.requests.max(1));
    let excess = counts.iter().enumerate();
    let excess = excess.map(|(index, c)| c.rate_audit.worst_excess(RATES[index], burst(index)));
    RunMetrics {
        refused_within_ppm: refused * 1_000_000 / conforming_requests.max(1),
        worst_refused_ppm: worst.max().unwrap_or(0),
        flooder_tokens: counts[FLOODING_WORKSPACE].admitted_tokens,
        worst_excess: excess.max().unwrap_or(0),
        messages_permille: messages * 1_000 / requests.max(1),
        requests,
    }
}
