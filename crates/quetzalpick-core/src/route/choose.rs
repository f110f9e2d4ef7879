//! The choice of an endpoint.

use strum::{Display, EnumString};

use crate::id::Domain;
use crate::route::{Candidate, HealthOptions};

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
    /// A report counts in full up to this age and half beyond it, in ms.
    pub report_age_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            health: HealthOptions::default(),
            slack_permille: 250,
            report_age_ms: 2_000,
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
    let _ = (now_ms, here, options, random);
    let index = candidates.iter().position(|c| !c.leaving)?;
    Some(Choice {
        index,
        reason: Reason::Only,
    })
}
