//! The selection of an endpoint for a request.

use quetzalpick_core::id::{Artifact, Domain, Endpoint, Service};
use quetzalpick_core::limit::Need;
use quetzalpick_core::route::{self, Candidate, Choice, Reason, choose};
use quetzalpick_core::table::Table;

use crate::fleet::limited::Limited;
use crate::fleet::row::Row;
use crate::fleet::{Build, Builds, Spec};

/// `Requirements` holds the criteria by which an endpoint is selected for a request.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// Service that it must belong to.
    pub service: &'a Service,
    /// Models and adapters that it must hold.
    pub artifacts: &'a [&'a Artifact],
    /// Endpoints of earlier attempts, which are avoided.
    pub attempted: &'a [Endpoint],
    /// Builds that it may run.
    pub build: BuildChoice<'a>,
    /// Whether endpoints may be selected that need permits.
    pub allows_limited: bool,
    /// Prompt tokens that it has to read.
    pub prompt_tokens: u64,
}

/// `BuildChoice` restricts the builds of the endpoints that may be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BuildChoice<'a> {
    /// Any build.
    Any,
    /// Builds that all VMs know already: a VM that knows only other ones would let the stream go on there.
    Settled,
    /// This build, as it began the stream.
    Only(&'a Build),
}

/// `Selection` holds the inputs of one selection of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Selection<'a> {
    pub(crate) now_ms: u64,
    pub(crate) requirements: &'a Requirements<'a>,
    /// Number of VMs that share the endpoints.
    pub(crate) members: u32,
    /// Time since a leader's last word on the paces, in ms.
    pub(crate) pace_age_ms: u64,
    /// Prompt of the request among those of its service.
    pub(crate) prompt: route::Prompt,
    pub(crate) domain: &'a Domain,
    /// Whether endpoints of evacuated failure domains may be selected before their time is over.
    pub(crate) uses_evacuated: bool,
    pub(crate) options: &'a route::Options,
    pub(crate) random: u64,
}

/// `Allowed` tells which endpoints may be selected as far as they need permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Allowed {
    /// Those that need none.
    Unlimited,
    /// Also those that may have permits to spare.
    Spare,
    /// Also those that may have any permit.
    AnyPermit,
}

impl Allowed {
    /// Returns whether an endpoint may be selected.
    fn includes(self, now_ms: u64, limited: &Limited) -> bool {
        let may_draw = |need| limited.wait_ms(now_ms, need) == 0;
        !limited.needs_permit(now_ms)
            || match self {
                Self::Unlimited => false,
                Self::Spare => may_draw(Need::Optional),
                Self::AnyPermit => may_draw(Need::Required),
            }
    }
}

impl Selection<'_> {
    /// Selects an endpoint, and tells how a permit is needed if so; `None` if none that accepts requests meets the
    /// requirements.
    pub(crate) fn select(
        &self,
        rows: &Table<Endpoint, Row>,
        builds: &Builds,
    ) -> Option<(Endpoint, Choice, Option<Need>)> {
        let best = |allowed| self.by_build(rows, builds, allowed);
        let is_healthy = |(_, choice): &(Endpoint, Choice)| choice.reason != Reason::Ejected;
        let selected = if self.requirements.allows_limited {
            let spare = best(Allowed::Spare).filter(is_healthy);
            spare.or_else(|| best(Allowed::AnyPermit))
        } else {
            best(Allowed::Unlimited)
        };
        let (endpoint, choice) = selected?;
        let needs_permit = rows.get(&endpoint)?.limited.needs_permit(self.now_ms);
        let need = || match best(Allowed::Unlimited).filter(is_healthy) {
            Some(_) => Need::Optional,
            None => Need::Required,
        };
        let permit = needs_permit.then(need);
        Some((endpoint, choice, permit))
    }

    /// Selects among the endpoints of the builds that may run the request.
    fn by_build(
        &self,
        rows: &Table<Endpoint, Row>,
        builds: &Builds,
        allowed: Allowed,
    ) -> Option<(Endpoint, Choice)> {
        match self.requirements.build {
            BuildChoice::Any => self.among(rows, allowed, |_| true),
            BuildChoice::Only(build) => self.among(rows, allowed, |row| row.spec.build == *build),
            BuildChoice::Settled => {
                let is_settled = |row: &Row| {
                    let Spec { service, build, .. } = &row.spec;
                    builds.is_settled(self.now_ms, service, build)
                };
                self.among(rows, allowed, is_settled)
            }
        }
    }

    /// Returns whether an endpoint may be selected in view of its failure domain.
    fn allows_domain(&self, row: &Row) -> bool {
        row.is_in_use() || (self.uses_evacuated && !row.is_evacuated(self.now_ms))
    }

    /// Selects among the endpoints that meet the requirements and the condition.
    fn among(
        &self,
        rows: &Table<Endpoint, Row>,
        allowed: Allowed,
        condition: impl Fn(&Row) -> bool,
    ) -> Option<(Endpoint, Choice)> {
        let serving = rows.iter().filter(|(_, row)| {
            row.serves(self.requirements)
                && condition(row)
                && self.allows_domain(row)
                && allowed.includes(self.now_ms, &row.limited)
        });
        let attempted = self.requirements.attempted;
        let candidates: Vec<Candidate<'_>> = serving
            .map(|(name, row)| {
                let attempted = attempted.contains(name);
                row.candidate(self.now_ms, name, attempted, self.members, self.pace_age_ms)
            })
            .collect();
        let choice = choose(
            self.now_ms,
            self.domain,
            &candidates,
            self.prompt,
            self.options,
            self.random,
        )?;
        Some((candidates[choice.index].endpoint.clone(), choice))
    }
}
