//! One endpoint as this VM sees it.

use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::route::{Candidate, Health, Load};

use crate::fleet::{Spec, State, Wanted};

/// `Row` is one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) spec: Spec,
    pub(crate) health: Health,
    /// Requests of this VM under way there.
    pub(crate) in_flight: u32,
    /// Requests of other VMs under way there, as they told, and when.
    pub(crate) others: u32,
    pub(crate) others_ms: u64,
    /// When its entry lapsed, in ms; it may come back after an outage of the log service.
    pub(crate) lapsed_ms: Option<u64>,
    /// Copies that it refused to have, until it says anew what it holds.
    pub(crate) missing: Vec<Artifact>,
    /// Orders that it had accepted when copies were found missing.
    pub(crate) missing_at: u64,
}

impl Row {
    /// Takes in an endpoint that was not known.
    pub(crate) fn new(spec: Spec) -> Self {
        Self {
            spec,
            health: Health::default(),
            in_flight: 0,
            others: 0,
            others_ms: 0,
            lapsed_ms: None,
            missing: Vec::new(),
            missing_at: 0,
        }
    }

    /// Takes in what the endpoint says now; a new start begins with nothing known.
    pub(crate) fn update(&mut self, spec: Spec) {
        if !self.spec.is_same_start(&spec) {
            let in_flight = self.in_flight;
            *self = Self::new(spec);
            self.in_flight = in_flight;
            return;
        }
        if spec.orders > self.missing_at {
            self.missing.clear();
        }
        self.lapsed_ms = None;
        self.spec = spec;
    }

    /// Tells whether it serves a service and holds what a request needs.
    pub(crate) fn serves(&self, wanted: &Wanted<'_>) -> bool {
        let holds =
            |artifact: &&Artifact| self.spec.holds(artifact) && !self.missing.contains(artifact);
        self.spec.service == *wanted.service && wanted.artifacts.iter().all(holds)
    }

    /// Returns it as a candidate for a request.
    pub(crate) fn candidate<'a>(&'a self, name: &'a Endpoint, tried: bool) -> Candidate<'a> {
        Candidate {
            endpoint: name,
            domain: &self.spec.domain,
            leaving: self.spec.state == State::Draining || self.lapsed_ms.is_some(),
            load: Load {
                in_flight: self.in_flight,
                reported: self.others,
                reported_ms: self.others_ms,
                dispatched_since: 0,
            },
            health: &self.health,
            cached_blocks: 0,
            tried,
        }
    }
}
