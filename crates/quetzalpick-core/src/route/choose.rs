//! Selects an endpoint for a request.

use strum::{Display, EnumString, IntoStaticStr};

use crate::id::Domain;
use crate::route::health::WEIGHT_FULL;
use crate::route::{Candidate, HealthOptions, Load, Prompt};

/// Thousandths of a request in one request.
const PERMILLE: u64 = 1_000;

/// `Policy` is the load-balancing policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// A random usable endpoint.
    Random,
    /// The endpoint with the fewest requests of this gate in flight.
    LeastRequests,
    /// Prefix affinity with bounded load, then power of two choices, nearest failure domain first.
    #[default]
    Affinity,
    /// For requests with a prompt, the earliest expected first event among a few drawn endpoints if their paces or the prompts of
    /// their service differ notably; otherwise `Affinity`.
    FirstEvent,
}

/// `Options` holds the tuning parameters of the selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The load-balancing policy.
    pub policy: Policy,
    /// Ejection and slow start.
    pub health: HealthOptions,
    /// Tolerated excess over the mean load up to which an endpoint may be preferred, in thousandths.
    pub slack_permille: u64,
    /// Age from which a report is ignored, in ms; its weight decreases linearly from full weight at age 0.
    pub report_age_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            health: HealthOptions::default(),
            slack_permille: 250,
            report_age_ms: 500,
        }
    }
}

/// `Reason` is the reason why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// It is the only usable endpoint.
    Only,
    /// Its cache is assumed to hold the longest prefix of the prompt.
    Prefix,
    /// It is the less loaded of two random endpoints in the caller's failure domain.
    Near,
    /// It is the less loaded of two random endpoints in any failure domain because the caller's is overloaded or has none.
    Far,
    /// It was chosen at random.
    Random,
    /// It has the fewest requests of this gate in flight.
    Fewest,
    /// Its first event is expected earliest among a few endpoints drawn at random.
    Expected,
    /// All are ejected, and its ejection ends first.
    Ejected,
}

/// `Choice` identifies the chosen endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Reason for the choice.
    pub reason: Reason,
}

/// Chooses among candidates for a request with a prompt and a caller in the failure domain `caller_domain`; `None`
/// if all are leaving.
///
/// `random` must be a new random number for each choice.
pub fn choose(
    now_ms: u64,
    caller_domain: &Domain,
    candidates: &[Candidate<'_>],
    prompt: Prompt,
    options: &Options,
    random: u64,
) -> Option<Choice> {
    let usable = usable(now_ms, candidates, options);
    let chooser = Chooser {
        now_ms,
        caller_domain,
        candidates,
        prompt,
        options,
    };
    match usable.as_slice() {
        [] => chooser.first_to_recover(),
        [index] => Some(pick(*index, Reason::Only)),
        _ => Some(chooser.by_policy(&usable, random)),
    }
}

/// Returns the indices of the candidates that accept new work, without already attempted ones if others remain.
fn usable(now_ms: u64, candidates: &[Candidate<'_>], options: &Options) -> Vec<usize> {
    let accepts_work =
        |c: &Candidate<'_>| !c.leaving && c.health.weight(now_ms, &options.health) > 0;
    let all = candidates.iter().enumerate();
    let usable: Vec<usize> = all
        .filter(|(_, c)| accepts_work(c))
        .map(|(i, _)| i)
        .collect();
    let unattempted = usable.iter().copied().filter(|i| !candidates[*i].attempted);
    let unattempted: Vec<usize> = unattempted.collect();
    if unattempted.is_empty() {
        usable
    } else {
        unattempted
    }
}

fn pick(index: usize, reason: Reason) -> Choice {
    Choice { index, reason }
}

/// `Chooser` holds the inputs shared by all policies.
pub(super) struct Chooser<'a> {
    pub(super) now_ms: u64,
    caller_domain: &'a Domain,
    pub(super) candidates: &'a [Candidate<'a>],
    /// Prompt of the request.
    pub(super) prompt: Prompt,
    pub(super) options: &'a Options,
}

impl Chooser<'_> {
    fn by_policy(&self, usable: &[usize], random: u64) -> Choice {
        match self.options.policy {
            Policy::Random => pick(draw(usable, random), Reason::Random),
            Policy::LeastRequests => pick(self.fewest(usable, random), Reason::Fewest),
            Policy::Affinity => self.by_affinity(usable, random),
            Policy::FirstEvent if self.is_uneven(usable) => {
                pick(self.earliest(usable, random), Reason::Expected)
            }
            Policy::FirstEvent => self.by_affinity(usable, random),
        }
    }

    /// Returns the candidate whose ejection ends first: a request that may fail is better than none.
    fn first_to_recover(&self) -> Option<Choice> {
        let all = self.candidates.iter().enumerate();
        let remaining = all.filter(|(_, c)| !c.leaving);
        let first = remaining.min_by_key(|(_, c)| (c.attempted, c.health.ejected_until_ms()))?;
        Some(pick(first.0, Reason::Ejected))
    }

    /// Returns the candidate with the fewest requests of this gate in flight; ties are broken at random.
    fn fewest(&self, usable: &[usize], random: u64) -> usize {
        let in_flight = |i: &usize| self.candidates[*i].load.in_flight;
        let least = usable.iter().map(in_flight).min();
        let ties = usable
            .iter()
            .copied()
            .filter(|i| Some(in_flight(i)) == least);
        draw(&ties.collect::<Vec<_>>(), random)
    }

    fn by_affinity(&self, usable: &[usize], random: u64) -> Choice {
        let load_limit = self.load_limit(usable);
        let within_limit = |i: &usize| self.cost(*i) <= load_limit;
        // The longest cached prefix is preferred unless its endpoint is much busier than the others.
        let holders = usable
            .iter()
            .copied()
            .filter(|i| self.candidates[*i].cached_blocks > 0 && within_limit(i));
        let blocks = |i: &usize| self.candidates[*i].cached_blocks;
        let preference = |i: &usize| {
            (
                blocks(i),
                self.is_near(*i),
                std::cmp::Reverse(self.cost(*i)),
            )
        };
        if let Some(index) = holders.max_by_key(preference) {
            return pick(index, Reason::Prefix);
        }
        // Other failure domains are used only if all endpoints in the caller's are much busier than the mean.
        let near: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|i| self.is_near(*i) && within_limit(i))
            .collect();
        if near.is_empty() {
            pick(self.less_loaded_of_two(usable, random), Reason::Far)
        } else {
            pick(self.less_loaded_of_two(&near, random), Reason::Near)
        }
    }

    pub(super) fn is_near(&self, index: usize) -> bool {
        self.candidates[index].domain == self.caller_domain
    }

    /// Returns the load up to which a candidate may be preferred, in thousandths of a request.
    fn load_limit(&self, usable: &[usize]) -> u64 {
        let total: u64 = usable.iter().map(|i| self.cost(*i)).sum();
        let mean = total / usable.len() as u64;
        mean + mean * self.options.slack_permille / PERMILLE + PERMILLE
    }

    /// Returns the estimated load in thousandths of a request, raised during a slow start.
    ///
    /// Own requests in flight are the most current indicator of load. The report includes the requests of all gates but lags, so
    /// its weight decreases with its age. Own dispatches since the report are added because it does not include them.
    fn cost(&self, index: usize) -> u64 {
        let candidate = &self.candidates[index];
        let load = candidate.load;
        let reported = self.aged(load, u64::from(load.reported));
        let requests = u64::from(load.in_flight) + u64::from(load.dispatched_since) + reported;
        let weight = candidate.health.weight(self.now_ms, &self.options.health);
        // One request is added so that an idle endpoint in slow start costs more than an idle healthy one.
        (requests + 1) * PERMILLE * WEIGHT_FULL / weight.max(1)
    }

    /// Returns what a report is worth at its age.
    pub(super) fn aged(&self, load: Load, reported: u64) -> u64 {
        let age_ms = self.now_ms.saturating_sub(load.reported_ms);
        let full_ms = self.options.report_age_ms.max(1);
        reported.saturating_mul(full_ms.saturating_sub(age_ms)) / full_ms
    }

    fn less_loaded_of_two(&self, among: &[usize], random: u64) -> usize {
        let (first, second) = draw_two(among, random);
        if self.cost(second) < self.cost(first) {
            second
        } else {
            first
        }
    }
}

/// Draws one element of a non-empty list.
pub(super) fn draw(among: &[usize], random: u64) -> usize {
    let index = random % among.len() as u64;
    // The remainder is below a length, so it fits.
    among[usize::try_from(index).unwrap_or(0)]
}

/// Draws two different elements of a non-empty list, or its only element twice.
fn draw_two(among: &[usize], random: u64) -> (usize, usize) {
    let first = draw(among, random);
    let rest: Vec<usize> = among.iter().copied().filter(|i| *i != first).collect();
    if rest.is_empty() {
        return (first, first);
    }
    // The upper bits are independent of the lower ones, which selected the first element.
    (first, draw(&rest, random >> 32))
}
