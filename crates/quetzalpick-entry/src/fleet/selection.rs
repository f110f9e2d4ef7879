//! The selection of an endpoint for a request.

use quetzalpick_core::id::{Artifact, Domain, Endpoint, Service};
use quetzalpick_core::route::{self, Candidate, Choice, Reason, choose};
use quetzalpick_core::table::Table;

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
    /// Whether endpoints may be selected that name a limit.
    pub allows_limited: bool,
}

/// `BuildChoice` restricts the builds of the endpoints that may be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BuildChoice<'a> {
    /// Any build.
    Any,
    /// Builds that all VMs know already; others only if none of these can take the request.
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
    pub(crate) domain: &'a Domain,
    pub(crate) options: &'a route::Options,
    pub(crate) random: u64,
}

impl Selection<'_> {
    /// Selects an endpoint; `None` if none that accepts requests meets the requirements.
    pub(crate) fn select(
        &self,
        rows: &Table<Endpoint, Row>,
        builds: &Builds,
    ) -> Option<(Endpoint, Choice)> {
        match self.requirements.build {
            BuildChoice::Any => self.among(rows, |_| true),
            BuildChoice::Only(build) => self.among(rows, |row| row.spec.build == *build),
            BuildChoice::Settled => {
                let is_settled = |row: &Row| {
                    let Spec { service, build, .. } = &row.spec;
                    builds.is_settled(self.now_ms, service, build)
                };
                let settled = self.among(rows, is_settled);
                let settled = settled.filter(|(_, choice)| choice.reason != Reason::Ejected);
                settled.or_else(|| self.among(rows, |_| true))
            }
        }
    }

    /// Returns whether an endpoint may get a request now as far as its limit is known.
    fn is_within_limit(&self, row: &Row) -> bool {
        let limited = &row.limited;
        let may_draw = self.requirements.allows_limited && limited.wait_ms(self.now_ms) == 0;
        limited.rate().is_none() || may_draw
    }

    /// Selects among the endpoints that meet the requirements and the condition.
    fn among(
        &self,
        rows: &Table<Endpoint, Row>,
        condition: impl Fn(&Row) -> bool,
    ) -> Option<(Endpoint, Choice)> {
        let serving = rows.iter().filter(|(_, row)| {
            row.serves(self.requirements) && condition(row) && self.is_within_limit(row)
        });
        let attempted = self.requirements.attempted;
        let candidates: Vec<Candidate<'_>> = serving
            .map(|(name, row)| row.candidate(name, attempted.contains(name), self.members))
            .collect();
        let choice = choose(
            self.now_ms,
            self.domain,
            &candidates,
            self.options,
            self.random,
        )?;
        Some((candidates[choice.index].endpoint.clone(), choice))
    }
}
