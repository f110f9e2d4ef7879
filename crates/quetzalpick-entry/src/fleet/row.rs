//! State of one endpoint, as observed by this VM.

use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::room::Draws;
use quetzalpick_core::route::{Candidate, Health, Load};
use rand::random;

use crate::fleet::limited::Limited;
use crate::fleet::pace::Pace;
use crate::fleet::{ColdNotice, Notice, Requirements, Spec, State};

/// Time for which an endpoint counts as unreachable after a failed connection, in ms; afterwards it may be used again.
const UNREACHABLE_MS: u64 = 1_500;

/// Times that a request takes longer at an endpoint that is cold, as assumed for its load.
const COLD_SLOWNESS: u32 = 2;

/// `Row` tracks the spec, health, load and copies of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) spec: Spec,
    pub(crate) health: Health,
    /// Requests of this VM in flight there, or about to be sent.
    pub(crate) in_flight: u32,
    /// Those of them that wait for a permit.
    pub(crate) awaiting: u32,
    /// Requests of other VMs in flight there, as last reported, and the time of the report in ms.
    pub(crate) others_in_flight: u32,
    pub(crate) others_reported_ms: u64,
    /// Requests that this VM sent there since that report.
    pub(crate) dispatched: u32,
    /// Time of the last failed connection, in ms; `None` once it has been reached since.
    pub(crate) unreachable_ms: Option<u64>,
    /// Time at which it last lacked an artifact that it was assumed to hold, in ms: it may have restarted.
    pub(crate) copy_missing_ms: Option<u64>,
    /// Time at which its entry expired, in ms; it may be renewed after an outage of the log service.
    pub(crate) expired_ms: Option<u64>,
    /// Whether it said in an answer or in an entry that it leaves.
    pub(crate) leaving: bool,
    /// Set if its failure domain is evacuated: until this time, in ms, it may get requests that no other endpoint can take.
    pub(crate) grace_end_ms: Option<u64>,
    /// It wants no requests of this VM before this time, in ms.
    pub(crate) paused_until_ms: u64,
    /// What it says of the requests that it takes, and this VM's permits.
    pub(crate) limited: Limited,
    /// This VM's draws of room there.
    pub(crate) draws: Draws,
    /// Its pace, and the prompts that it has to read.
    pub(crate) pace: Pace,
    /// Random number that rounds this VM's share of its slots without a leader.
    pub(crate) share_random: u64,
    /// Version of the fleet at which its entry or its limit last changed.
    pub(crate) version: u64,
    /// Models and adapters that it holds, as reported by the leader or else by itself; sorted.
    copies: Vec<Artifact>,
    /// Whether the copies were reported by the leader.
    copies_from_leader: bool,
    /// Copies that it turned out to lack, until newer copies are reported.
    pub(crate) missing_copies: Vec<Artifact>,
}

impl Row {
    /// Creates the state of a new endpoint.
    pub(crate) fn new(spec: Spec) -> Self {
        Self {
            copies: spec.copies.clone(),
            copies_from_leader: false,
            spec,
            health: Health::default(),
            in_flight: 0,
            awaiting: 0,
            others_in_flight: 0,
            others_reported_ms: 0,
            dispatched: 0,
            unreachable_ms: None,
            copy_missing_ms: None,
            expired_ms: None,
            leaving: false,
            grace_end_ms: None,
            paused_until_ms: 0,
            limited: Limited::default(),
            draws: Draws::default(),
            pace: Pace::default(),
            share_random: random(),
            version: 0,
            missing_copies: Vec::new(),
        }
    }

    /// Applies the endpoint's current spec; a new incarnation resets all state but the requests in flight, their prompts and the pause.
    pub(crate) fn update(&mut self, leader_is_current: bool, spec: Spec) {
        if !self.spec.is_same_incarnation(&spec) {
            *self = Self {
                in_flight: self.in_flight,
                awaiting: self.awaiting,
                paused_until_ms: self.paused_until_ms,
                pace: self.pace.restarted(),
                ..Self::new(spec)
            };
            return;
        }
        if !leader_is_current || !self.copies_from_leader {
            self.copies_from_leader = false;
            self.set_copies(&spec.copies);
        }
        self.expired_ms = None;
        // An incarnation that leaves does not stay after all: an entry that says so is an older one.
        self.leaving |= self.spec.state == State::Draining;
        self.spec = spec;
    }

    /// Replaces the copies by those that the leader reports.
    pub(crate) fn set_leader_copies(&mut self, copies: &[Artifact]) {
        self.copies_from_leader = true;
        self.set_copies(copies);
    }

    fn set_copies(&mut self, copies: &[Artifact]) {
        if self.copies != copies {
            self.copies = copies.to_vec();
            self.missing_copies.clear();
        }
    }

    /// Returns whether it accepts new requests according to its entry and its answers.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.state() == State::Ready && self.expired_ms.is_none()
    }

    /// Returns its state: what it says in answers is newer than its entry.
    pub(crate) fn state(&self) -> State {
        if self.leaving {
            State::Draining
        } else {
            self.spec.state
        }
    }

    /// Returns its spec with its state.
    pub(crate) fn present_spec(&self) -> Spec {
        Spec {
            state: self.state(),
            ..self.spec.clone()
        }
    }

    /// Returns its spec for other VMs, as of now.
    pub(crate) fn relayed_spec(&self, now_ms: u64) -> Spec {
        let left_ms = self.limited.cold.left_ms(now_ms);
        let is_known = self.spec.cold_ms.is_some() || left_ms > 0;
        Spec {
            cold_ms: is_known.then_some(left_ms),
            ..self.present_spec()
        }
    }

    /// Returns the time until it wants requests of this VM again, in ms; 0 if that is now.
    pub(crate) fn pause_ms(&self, now_ms: u64) -> u64 {
        self.paused_until_ms.saturating_sub(now_ms)
    }

    /// Returns whether it belongs to the required service and holds the required artifacts.
    pub(crate) fn serves(&self, requirements: &Requirements<'_>) -> bool {
        let holds = |artifact: &&Artifact| {
            self.copies.binary_search(artifact).is_ok() && !self.missing_copies.contains(artifact)
        };
        self.spec.service == *requirements.service && requirements.artifacts.iter().all(holds)
    }

    /// Returns whether a connection to it failed recently.
    pub(crate) fn is_unreachable(&self, now_ms: u64) -> bool {
        self.unreachable_ms
            .is_some_and(|at| now_ms < at + UNREACHABLE_MS)
    }

    /// Returns whether it may be gone or may have restarted.
    pub(crate) fn is_suspected(&self, now_ms: u64) -> bool {
        let copy_missing = self
            .copy_missing_ms
            .is_some_and(|at| now_ms < at + UNREACHABLE_MS);
        copy_missing || self.is_unreachable(now_ms)
    }

    /// Returns what other VMs are told about the requests that it takes; `None` if it never said anything of that.
    pub(crate) fn notice(&self, now_ms: u64, name: &Endpoint) -> Option<Notice> {
        let said = self.limited.said(now_ms)?;
        let cold = self.limited.cold_rate(now_ms).map(|rate| ColdNotice {
            rate,
            left_ms: self.limited.cold.left_ms(now_ms),
        });
        Some(Notice::new(now_ms, name, self.spec.started_ms, said, cold))
    }

    /// Returns this VM's requests that were sent there and have not ended.
    pub(crate) fn sent(&self) -> u32 {
        self.in_flight.saturating_sub(self.awaiting)
    }

    /// Returns it as a candidate for a request; `members` VMs send requests there at the same rate, and a leader's last word on its
    /// pace was `pace_age_ms` ago.
    pub(crate) fn candidate<'a>(
        &'a self,
        now_ms: u64,
        name: &'a Endpoint,
        attempted: bool,
        members: u32,
        pace_age_ms: u64,
    ) -> Candidate<'a> {
        let is_cold = self.limited.cold_rate(now_ms).is_some();
        let slowness = if is_cold { COLD_SLOWNESS } else { 1 };
        Candidate {
            endpoint: name,
            domain: &self.spec.domain,
            leaving: !self.accepts_requests() || self.pause_ms(now_ms) > 0,
            slots: self.spec.slots,
            pace_permille: self.pace.permille(pace_age_ms),
            load: Load {
                in_flight: self.in_flight.saturating_mul(slowness),
                reported: self.others_in_flight.saturating_mul(slowness),
                reported_ms: self.others_reported_ms,
                // Estimated: each of the other VMs is assumed to have sent as many.
                dispatched_since: self.dispatched * members.saturating_sub(1),
                own_prompt: self.pace.own_prompt(),
                reported_prompt: self.pace.others_prompt(),
            },
            health: &self.health,
            cached_blocks: 0,
            attempted,
        }
    }
}
