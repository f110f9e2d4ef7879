//! Builds the report of a run.

use serde::Serialize;

use quetzalpick_core::verdict::Verdict;

use crate::report::metrics::{Counts, LatencyHistogram, LatencySummary};
use crate::report::records::Records;
use crate::report::resource_usage::ResourceUsage;
use crate::report::token_bucket::TokenBucket;
use crate::run::{Arrival, Outcome, OutcomeKind, RequestKind, Scenario};

/// `WorkspaceReport` holds the counts and latencies of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WorkspaceReport {
    /// Name of the workspace.
    pub workspace: String,
    /// Number of requests by outcome.
    pub counts: Counts,
    /// Time to the first token.
    pub first_token: LatencySummary,
    /// Time between tokens.
    pub between_tokens: LatencySummary,
}

/// `BookingStats` counts bookings, and those whose executions contradict the answers to the caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct BookingStats {
    /// Bookings sent.
    pub sent: u64,
    /// Executed more than once.
    pub doubled: u64,
    /// Answered with success but never executed.
    pub lost: u64,
    /// Reported as not run but executed.
    pub false_not_run: u64,
}

/// `FailureGroup` counts requests that failed with similar error details.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FailureGroup {
    /// How the requests ended.
    #[serde(rename = "end")]
    pub kind: OutcomeKind,
    /// Error detail of the first request in the group.
    pub detail: String,
    /// Number of requests.
    pub count: u64,
}

/// `Report` holds the results of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// Seed.
    pub seed: u64,
    /// Duration of the run, in s.
    pub seconds: u32,
    /// Counts over all requests.
    pub total: Counts,
    /// Fraction of the answers that were within the latency targets.
    pub attainment: f64,
    /// Answers within the latency targets, per second and accelerator.
    pub attained_per_accelerator_s: f64,
    /// Lowest of the workspaces' fractions of requests within rate that were answered within the latency targets.
    pub worst_workspace: f64,
    /// Time to the first token.
    pub first_token: LatencySummary,
    /// Time between tokens.
    pub between_tokens: LatencySummary,
    /// Results by workspace, in the scenario's order.
    pub workspaces: Vec<WorkspaceReport>,
    /// Checks of the bookings.
    pub orders: BookingStats,
    /// Sums over the records of the stand-ins.
    pub records: Records,
    /// Resource usage of the measured processes.
    #[serde(rename = "costs")]
    pub resource_usage: Vec<ResourceUsage>,
    /// Failures, most frequent first.
    pub failures: Vec<FailureGroup>,
    /// Points of the cumulative distribution of the time to the first token: fraction, and ms.
    #[serde(skip)]
    pub first_curve: Vec<(f64, f64)>,
    /// Points of the cumulative distribution of the time between tokens: fraction, and ms.
    #[serde(skip)]
    pub between_curve: Vec<(f64, f64)>,
}

/// `Aggregate` accumulates the outcomes of one workspace or of all.
#[derive(Default)]
struct Aggregate {
    counts: Counts,
    first_token: LatencyHistogram,
    between_tokens: LatencyHistogram,
    within_rate: u64,
}

impl Aggregate {
    /// Records an outcome.
    fn record(&mut self, outcome: &Outcome, attained: bool, within_rate: bool, chat: bool) {
        self.counts.record(outcome, attained, within_rate);
        self.within_rate += u64::from(within_rate);
        if outcome.kind == OutcomeKind::Answered && chat {
            self.first_token.record(outcome.first_us);
            if let Some(between_us) = outcome.between_us {
                self.between_tokens.record(between_us);
            }
        }
    }

    /// Returns the fraction of the requests within rate that were answered within the latency targets.
    fn attainment_within_rate(&self) -> f64 {
        ratio(self.counts.attained.min(self.within_rate), self.within_rate)
    }
}

/// Builds the report of a run.
pub fn summarize(
    scenario: &Scenario,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
    records: Records,
    resource_usage: Vec<ResourceUsage>,
) -> Report {
    let mut all = Aggregate::default();
    let mut groups: Vec<Aggregate> = scenario
        .workspaces
        .iter()
        .map(|_| Aggregate::default())
        .collect();
    let new_bucket = |w: &crate::run::Workspace| TokenBucket::new(w.rate, w.burst);
    let mut buckets: Vec<TokenBucket> = scenario.workspaces.iter().map(new_bucket).collect();
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        let within_rate = buckets[arrival.workspace].try_charge(arrival.at_us, outcome.tokens);
        let attained = outcome.kind == OutcomeKind::Answered && meets_targets(scenario, outcome);
        let chat = matches!(arrival.kind, RequestKind::Chat { .. });
        all.record(outcome, attained, within_rate, chat);
        groups[arrival.workspace].record(outcome, attained, within_rate, chat);
    }
    let worst = groups
        .iter()
        .filter(|group| group.within_rate > 0)
        .map(Aggregate::attainment_within_rate)
        .fold(1.0, f64::min);
    let accelerator_s = f64::from(scenario.accelerators.max(1)) * f64::from(scenario.seconds);
    Report {
        name: scenario.name.clone(),
        seed: scenario.seed,
        seconds: scenario.seconds,
        attainment: ratio(all.counts.attained, all.counts.answered),
        attained_per_accelerator_s: all.counts.attained as f64 / accelerator_s,
        worst_workspace: worst,
        first_token: all.first_token.summary(),
        between_tokens: all.between_tokens.summary(),
        first_curve: all.first_token.cdf(),
        between_curve: all.between_tokens.cdf(),
        total: all.counts,
        workspaces: scenario
            .workspaces
            .iter()
            .zip(&groups)
            .map(|(w, group)| workspace_report(&w.name, group))
            .collect(),
        orders: booking_stats(arrivals, outcomes, &records),
        records,
        resource_usage,
        failures: group_failures(outcomes),
    }
}

/// Returns whether an answer was within the latency targets.
fn meets_targets(scenario: &Scenario, outcome: &Outcome) -> bool {
    let targets = &scenario.targets;
    let between_us = outcome.between_us.unwrap_or_default();
    outcome.first_us <= targets.first_token_ms * 1000
        && between_us <= targets.between_tokens_ms * 1000
}

/// Builds the report of a workspace.
fn workspace_report(name: &str, group: &Aggregate) -> WorkspaceReport {
    WorkspaceReport {
        workspace: name.to_owned(),
        counts: group.counts.clone(),
        first_token: group.first_token.summary(),
        between_tokens: group.between_tokens.summary(),
    }
}

/// Compares the answers to bookings with the executions that the services recorded.
fn booking_stats(arrivals: &[Arrival], outcomes: &[Outcome], records: &Records) -> BookingStats {
    let mut stats = BookingStats::default();
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        let RequestKind::Booking { order } = &arrival.kind else {
            continue;
        };
        let index = records.orders.binary_search_by(|(name, _)| name.cmp(order));
        let executions = index.map_or(0, |index| records.orders[index].1);
        stats.sent += 1;
        stats.doubled += u64::from(executions > 1);
        stats.lost += u64::from(outcome.kind == OutcomeKind::Answered && executions == 0);
        stats.false_not_run += u64::from(outcome.verdict == Verdict::NotRun && executions > 0);
    }
    stats
}

/// Groups failed requests by outcome and error detail, most frequent first.
fn group_failures(outcomes: &[Outcome]) -> Vec<FailureGroup> {
    let mut groups: Vec<FailureGroup> = Vec::new();
    for outcome in outcomes
        .iter()
        .filter(|outcome| !matches!(outcome.kind, OutcomeKind::Answered | OutcomeKind::Limited))
    {
        // Details of the same kind of failure differ only in numbers.
        let signature = |text: &str| {
            text.chars()
                .filter(|c| c.is_alphabetic())
                .take(60)
                .collect::<String>()
        };
        let same = |group: &&mut FailureGroup| {
            group.kind == outcome.kind && signature(&group.detail) == signature(&outcome.detail)
        };
        match groups.iter_mut().find(same) {
            Some(group) => group.count += 1,
            None => groups.push(FailureGroup {
                kind: outcome.kind,
                detail: outcome.detail.clone(),
                count: 1,
            }),
        }
    }
    groups.sort_by_key(|group| std::cmp::Reverse(group.count));
    groups
}

/// Returns `part / total`, or 1.0 if the total is 0.
fn ratio(part: u64, total: u64) -> f64 {
    if total == 0 {
        1.0
    } else {
        part as f64 / total as f64
    }
}
