//! The report of a run.

use serde::Serialize;

use quetzalpick_core::verdict::Verdict;

use crate::report::metrics::{Counts, Latency, Times};
use crate::report::records::Records;
use crate::report::resource_usage::Cost;
use crate::report::token_bucket::Allowance;
use crate::run::{Arrival, End, Kind, Outcome, Scenario};

/// `Row` is the report of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the workspace.
    pub workspace: String,
    /// How its requests ended.
    pub counts: Counts,
    /// Time to the first token.
    pub first_token: Latency,
    /// Time between tokens.
    pub between_tokens: Latency,
}

/// `Orders` is what became of the bookings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Orders {
    /// Sent.
    pub sent: u64,
    /// Run more than once.
    pub doubled: u64,
    /// Answered as done, but not run.
    pub lost: u64,
    /// Said to be not run, but run.
    pub false_not_run: u64,
}

/// `Failure` is a detail of requests that went wrong, with their number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// How they ended.
    pub end: End,
    /// What the first of them was told.
    pub detail: String,
    /// How many.
    pub count: u64,
}

/// `Report` is everything that a run showed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// Seed.
    pub seed: u64,
    /// Length of the run, in s.
    pub seconds: u32,
    /// All requests.
    pub total: Counts,
    /// Part of the answers that were within the targets.
    pub attainment: f64,
    /// Answers within the targets, per second and accelerator.
    pub attained_per_accelerator_s: f64,
    /// Smallest part of a workspace's requests within its rate that were answered within the targets.
    pub worst_workspace: f64,
    /// Time to the first token.
    pub first_token: Latency,
    /// Time between tokens.
    pub between_tokens: Latency,
    /// Workspaces, in the scenario's order.
    pub workspaces: Vec<Row>,
    /// Bookings.
    pub orders: Orders,
    /// What the stand-ins recorded.
    pub records: Records,
    /// What processes cost.
    pub costs: Vec<Cost>,
    /// What went wrong, most frequent first.
    pub failures: Vec<Failure>,
    /// Points of the distribution of the time to the first token: part, and ms.
    #[serde(skip)]
    pub first_curve: Vec<(f64, f64)>,
    /// Points of the distribution of the time between tokens: part, and ms.
    #[serde(skip)]
    pub between_curve: Vec<(f64, f64)>,
}

/// `Group` collects the requests of one workspace or of all.
#[derive(Default)]
struct Group {
    counts: Counts,
    first: Times,
    between: Times,
    within: u64,
}

impl Group {
    /// Takes an outcome.
    fn add(&mut self, outcome: &Outcome, attained: bool, within_rate: bool, chat: bool) {
        self.counts.add(outcome, attained, within_rate);
        self.within += u64::from(within_rate);
        if outcome.end == End::Answered && chat {
            self.first.add(outcome.first_us);
            if let Some(between_us) = outcome.between_us {
                self.between.add(between_us);
            }
        }
    }

    /// Returns the part of the requests within rate that were answered within the targets.
    fn served(&self) -> f64 {
        ratio(self.counts.attained.min(self.within), self.within)
    }
}

/// Makes the report of a run.
pub fn summarize(
    scenario: &Scenario,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
    records: Records,
    costs: Vec<Cost>,
) -> Report {
    let mut all = Group::default();
    let mut groups: Vec<Group> = scenario
        .workspaces
        .iter()
        .map(|_| Group::default())
        .collect();
    let allowance = |w: &crate::run::Workspace| Allowance::new(w.rate, w.burst);
    let mut allowances: Vec<Allowance> = scenario.workspaces.iter().map(allowance).collect();
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        let within = allowances[arrival.workspace].admits(arrival.at_us, outcome.tokens);
        let attained = outcome.end == End::Answered && is_attained(scenario, outcome);
        let chat = matches!(arrival.kind, Kind::Chat { .. });
        all.add(outcome, attained, within, chat);
        groups[arrival.workspace].add(outcome, attained, within, chat);
    }
    let worst = groups
        .iter()
        .filter(|group| group.within > 0)
        .map(Group::served)
        .fold(1.0, f64::min);
    let accelerator_s = f64::from(scenario.accelerators.max(1)) * f64::from(scenario.seconds);
    Report {
        name: scenario.name.clone(),
        seed: scenario.seed,
        seconds: scenario.seconds,
        attainment: ratio(all.counts.attained, all.counts.answered),
        attained_per_accelerator_s: all.counts.attained as f64 / accelerator_s,
        worst_workspace: worst,
        first_token: all.first.latency(),
        between_tokens: all.between.latency(),
        first_curve: all.first.curve(),
        between_curve: all.between.curve(),
        total: all.counts,
        workspaces: scenario
            .workspaces
            .iter()
            .zip(&groups)
            .map(|(w, group)| row(&w.name, group))
            .collect(),
        orders: orders(arrivals, outcomes, &records),
        records,
        costs,
        failures: failures(outcomes),
    }
}

/// Tells whether an answer was within the targets.
fn is_attained(scenario: &Scenario, outcome: &Outcome) -> bool {
    let targets = &scenario.targets;
    let between_us = outcome.between_us.unwrap_or_default();
    outcome.first_us <= targets.first_token_ms * 1000
        && between_us <= targets.between_tokens_ms * 1000
}

/// Makes the row of a workspace.
fn row(name: &str, group: &Group) -> Row {
    Row {
        workspace: name.to_owned(),
        counts: group.counts.clone(),
        first_token: group.first.latency(),
        between_tokens: group.between.latency(),
    }
}

/// Compares what callers were told of bookings with what the services recorded.
fn orders(arrivals: &[Arrival], outcomes: &[Outcome], records: &Records) -> Orders {
    let mut orders = Orders::default();
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        let Kind::Booking { order } = &arrival.kind else {
            continue;
        };
        let at = records.orders.binary_search_by(|(name, _)| name.cmp(order));
        let ran = at.map_or(0, |at| records.orders[at].1);
        orders.sent += 1;
        orders.doubled += u64::from(ran > 1);
        orders.lost += u64::from(outcome.end == End::Answered && ran == 0);
        orders.false_not_run += u64::from(outcome.verdict == Verdict::NotRun && ran > 0);
    }
    orders
}

/// Groups what went wrong.
fn failures(outcomes: &[Outcome]) -> Vec<Failure> {
    let mut rows: Vec<Failure> = Vec::new();
    for outcome in outcomes
        .iter()
        .filter(|outcome| !matches!(outcome.end, End::Answered | End::Limited))
    {
        // Details of one kind differ only in numbers.
        let shape = |text: &str| {
            text.chars()
                .filter(|c| c.is_alphabetic())
                .take(60)
                .collect::<String>()
        };
        let same = |row: &&mut Failure| {
            row.end == outcome.end && shape(&row.detail) == shape(&outcome.detail)
        };
        match rows.iter_mut().find(same) {
            Some(row) => row.count += 1,
            None => rows.push(Failure {
                end: outcome.end,
                detail: outcome.detail.clone(),
                count: 1,
            }),
        }
    }
    rows.sort_by_key(|row| std::cmp::Reverse(row.count));
    rows
}

/// Divides counts; nothing of nothing is everything.
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        1.0
    } else {
        part as f64 / whole as f64
    }
}
