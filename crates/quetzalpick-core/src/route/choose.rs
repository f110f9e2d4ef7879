//! The choice of an endpoint.

use strum::{Display, EnumString};

use crate::id::Domain;
use crate::route::health::WEIGHT_FULL;
use crate::route::{Candidate, HealthOptions};

/// Thousandths of a request in one request.
const PERMILLE: u64 = 1_000;

/// `Policy` is the way of choosing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Any usable endpoint.
    Random,
    /// The endpoint with the fewest own requests under way.
    LeastRequests,
    /// Prefix affinity with bounded load, then power of two choices, nearest failure domain first.
    #[default]
    Affinity,
}

/// `Options` are the knobs of the choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The way of choosing.
    pub policy: Policy,
    /// Ejection and slow start.
    pub health: HealthOptions,
    /// An endpoint may exceed the mean load by this many thousandths and still be preferred.
    pub slack_permille: u64,
    /// Age at which a report counts for nothing, in ms; it counts in full when it is new.
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

/// `Reason` says why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// It is the only usable one.
    Only,
    /// Its cache is thought to hold the longest part of the prompt.
    Prefix,
    /// It is the less loaded of two in the nearest failure domain.
    Near,
    /// It is the less loaded of two in any failure domain, as the nearest is overloaded or has none.
    Far,
    /// It was drawn at random.
    Random,
    /// It has the fewest own requests under way.
    Fewest,
    /// All are ejected, and it is the one that returns first.
    Ejected,
}

/// `Choice` is the endpoint chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Chooses among candidates for a caller in the failure domain `here`; `None` if all are leaving.
///
/// `random` is drawn anew for each choice.
pub fn choose(
    now_ms: u64,
    here: &Domain,
    candidates: &[Candidate<'_>],
    options: &Options,
    random: u64,
) -> Option<Choice> {
    let usable = usable(now_ms, candidates, options);
    let chooser = Chooser {
        now_ms,
        here,
        candidates,
        options,
    };
    match usable.as_slice() {
        [] => chooser.first_to_return(),
        [index] => Some(pick(*index, Reason::Only)),
        _ => Some(chooser.by_policy(&usable, random)),
    }
}

/// Returns the indices of the candidates that take new work, without those tried before if others are left.
fn usable(now_ms: u64, candidates: &[Candidate<'_>], options: &Options) -> Vec<usize> {
    let takes_work = |c: &Candidate<'_>| !c.leaving && c.health.weight(now_ms, &options.health) > 0;
    let all = candidates.iter().enumerate();
    let usable: Vec<usize> = all.filter(|(_, c)| takes_work(c)).map(|(i, _)| i).collect();
    let untried = usable.iter().copied().filter(|i| !candidates[*i].tried);
    let untried: Vec<usize> = untried.collect();
    if untried.is_empty() { usable } else { untried }
}

fn pick(index: usize, reason: Reason) -> Choice {
    Choice { index, reason }
}

/// `Chooser` bundles what the ways of choosing look at.
struct Chooser<'a> {
    now_ms: u64,
    here: &'a Domain,
    candidates: &'a [Candidate<'a>],
    options: &'a Options,
}

impl Chooser<'_> {
    fn by_policy(&self, usable: &[usize], random: u64) -> Choice {
        match self.options.policy {
            Policy::Random => pick(draw(usable, random), Reason::Random),
            Policy::LeastRequests => pick(self.fewest(usable, random), Reason::Fewest),
            Policy::Affinity => self.by_affinity(usable, random),
        }
    }

    /// Returns the ejected candidate that returns first, as an answer that may fail beats none.
    fn first_to_return(&self) -> Option<Choice> {
        let all = self.candidates.iter().enumerate();
        let staying = all.filter(|(_, c)| !c.leaving);
        let first = staying.min_by_key(|(_, c)| (c.tried, c.health.returns_ms()))?;
        Some(pick(first.0, Reason::Ejected))
    }

    /// Returns the one with the fewest own requests under way; ties are drawn.
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
        let bound = self.bound(usable);
        let fits = |i: &usize| self.cost(*i) <= bound;
        // The longest cached prefix goes first, as long as its holder is not much busier than the others.
        let holders = usable
            .iter()
            .copied()
            .filter(|i| self.candidates[*i].cached_blocks > 0 && fits(i));
        let blocks = |i: &usize| self.candidates[*i].cached_blocks;
        let key = |i: &usize| {
            (
                blocks(i),
                self.is_near(*i),
                std::cmp::Reverse(self.cost(*i)),
            )
        };
        if let Some(index) = holders.max_by_key(key) {
            return pick(index, Reason::Prefix);
        }
        // The caller's own failure domain is left only when all its endpoints are much busier than the mean.
        let near: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|i| self.is_near(*i) && fits(i))
            .collect();
        if near.is_empty() {
            pick(self.less_loaded_of_two(usable, random), Reason::Far)
        } else {
            pick(self.less_loaded_of_two(&near, random), Reason::Near)
        }
    }

    fn is_near(&self, index: usize) -> bool {
        self.candidates[index].domain == self.here
    }

    /// Returns the load up to which a candidate may be preferred, in thousandths of a request.
    fn bound(&self, usable: &[usize]) -> u64 {
        let total: u64 = usable.iter().map(|i| self.cost(*i)).sum();
        let mean = total / usable.len() as u64;
        mean + mean * self.options.slack_permille / PERMILLE + PERMILLE
    }

    /// Returns the estimated load in thousandths of a request, raised during a slow start.
    ///
    /// Own requests under way are the freshest sign of load. The report counts all gates' requests but lags, so it
    /// fades with its age; own dispatches since it count once more, as it does not show them.
    fn cost(&self, index: usize) -> u64 {
        let candidate = &self.candidates[index];
        let load = candidate.load;
        let age_ms = self.now_ms.saturating_sub(load.reported_ms);
        let full_ms = self.options.report_age_ms.max(1);
        let reported = u64::from(load.reported) * full_ms.saturating_sub(age_ms) / full_ms;
        let requests = u64::from(load.in_flight) + u64::from(load.dispatched_since) + reported;
        let weight = candidate.health.weight(self.now_ms, &self.options.health);
        // One more request is counted, so that an idle endpoint in slow start costs more than an idle healthy one.
        (requests + 1) * PERMILLE * WEIGHT_FULL / weight.max(1)
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

/// Draws one of a non-empty list.
fn draw(among: &[usize], random: u64) -> usize {
    let at = random % among.len() as u64;
    // The remainder is below a length, so it fits.
    among[usize::try_from(at).unwrap_or(0)]
}

/// Draws two different ones of a non-empty list, or the only one twice.
fn draw_two(among: &[usize], random: u64) -> (usize, usize) {
    let first = draw(among, random);
    let rest: Vec<usize> = among.iter().copied().filter(|i| *i != first).collect();
    if rest.is_empty() {
        return (first, first);
    }
    // The upper half of the bits is independent of the lower one, which drew the first.
    (first, draw(&rest, random >> 32))
}
