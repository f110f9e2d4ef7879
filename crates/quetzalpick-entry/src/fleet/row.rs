//! One endpoint as this VM sees it.

use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::route::{Candidate, Health, Load};

use crate::fleet::{Spec, State, Wanted};

/// Time for which an endpoint that could not be reached counts as lost, in ms; then it is tried again.
const LOST_MS: u64 = 1_500;

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
    /// Requests that this VM sent there since others told of theirs.
    pub(crate) dispatched: u32,
    /// When it could not be reached, in ms, if it has not been reached since.
    pub(crate) unreached_ms: Option<u64>,
    /// When it refused to have what it was thought to hold, in ms: it may have started anew.
    pub(crate) missed_ms: Option<u64>,
    /// When its entry lapsed, in ms; it may come back after an outage of the log service.
    pub(crate) lapsed_ms: Option<u64>,
    /// Version of the fleet since which its entry is as it is.
    pub(crate) version: u64,
    /// Models and adapters that it holds, by the leader's word or, without that, by its own; sorted.
    copies: Vec<Artifact>,
    /// Whether the copies are by the leader's word.
    is_learned: bool,
    /// Copies that it refused to have, until there is newer word of what it holds.
    pub(crate) missing: Vec<Artifact>,
}

impl Row {
    /// Takes in an endpoint that was not known.
    pub(crate) fn new(spec: Spec) -> Self {
        Self {
            copies: spec.copies.clone(),
            is_learned: false,
            spec,
            health: Health::default(),
            in_flight: 0,
            others: 0,
            others_ms: 0,
            dispatched: 0,
            unreached_ms: None,
            missed_ms: None,
            lapsed_ms: None,
            version: 0,
            missing: Vec::new(),
        }
    }

    /// Takes in what the endpoint says now; a new start begins with nothing known.
    pub(crate) fn update(&mut self, leader_is_heard: bool, spec: Spec) {
        if !self.spec.is_same_start(&spec) {
            let in_flight = self.in_flight;
            *self = Self::new(spec);
            self.in_flight = in_flight;
            return;
        }
        if !leader_is_heard || !self.is_learned {
            self.is_learned = false;
            self.hold(&spec.copies);
        }
        self.lapsed_ms = None;
        self.spec = spec;
    }

    /// Takes in what the leader says that the endpoint holds.
    pub(crate) fn learn(&mut self, copies: &[Artifact]) {
        self.is_learned = true;
        self.hold(copies);
    }

    fn hold(&mut self, copies: &[Artifact]) {
        if self.copies != copies {
            self.copies = copies.to_vec();
            self.missing.clear();
        }
    }

    /// Tells whether it takes new requests, as far as its entry goes.
    pub(crate) fn is_staying(&self) -> bool {
        self.spec.state == State::Ready && self.lapsed_ms.is_none()
    }

    /// Tells whether it serves a service and holds what a request needs.
    pub(crate) fn serves(&self, wanted: &Wanted<'_>) -> bool {
        let holds = |artifact: &&Artifact| {
            self.copies.binary_search(artifact).is_ok() && !self.missing.contains(artifact)
        };
        self.spec.service == *wanted.service && wanted.artifacts.iter().all(holds)
    }

    /// Tells whether it could not be reached a short time ago.
    pub(crate) fn is_lost(&self, now_ms: u64) -> bool {
        self.unreached_ms.is_some_and(|at| now_ms < at + LOST_MS)
    }

    /// Tells whether it may be gone, or another start of it be there.
    pub(crate) fn is_suspected(&self, now_ms: u64) -> bool {
        let missed = self.missed_ms.is_some_and(|at| now_ms < at + LOST_MS);
        missed || self.is_lost(now_ms)
    }

    /// Returns it as a candidate for a request, for one of `members` VMs that do alike.
    pub(crate) fn candidate<'a>(
        &'a self,
        name: &'a Endpoint,
        tried: bool,
        members: u32,
    ) -> Candidate<'a> {
        Candidate {
            endpoint: name,
            domain: &self.spec.domain,
            leaving: !self.is_staying(),
            load: Load {
                in_flight: self.in_flight,
                reported: self.others,
                reported_ms: self.others_ms,
                // The others have sent as many there, as far as can be guessed.
                dispatched_since: self.dispatched * members.saturating_sub(1),
            },
            health: &self.health,
            cached_blocks: 0,
            tried,
        }
    }
}
