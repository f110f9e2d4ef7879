//! The leader's part in the quarantine of what crashes endpoints.

use quetzalpick_core::quarantine::{Answered, Decision, Feature, Investigation, Options};

use crate::exchange::Status;
use crate::lead::Leadership;
use crate::quarantine::Update;

/// `Findings` holds the evidence that the VMs reported to this leader, and the features that are quarantined.
#[derive(Debug)]
pub(super) struct Findings {
    investigation: Investigation,
    /// Incremented with each change of the quarantined features.
    version: u64,
    /// Whether the features include those that former leaders stored.
    is_complete: bool,
    /// Features that were answered after all, and whose records are still stored.
    released: Vec<Feature>,
}

/// `Differences` holds how the stored features differ from those that the leader has quarantined.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Differences {
    /// Quarantined features that are not stored.
    pub(crate) missing: Vec<Feature>,
    /// Stored features that were released.
    pub(crate) released: Vec<Feature>,
}

/// `Reply` holds what the leader tells a VM about the quarantine.
#[derive(Debug, Default)]
pub(super) struct Reply {
    /// Features about which all VMs are asked whether a request with them was answered.
    pub(super) suspects: Vec<Feature>,
    /// The quarantined features, if the VM does not have this version.
    pub(super) update: Option<Update>,
}

impl Findings {
    /// Starts with the features that this VM knows to be quarantined.
    pub(super) fn new(now_ms: u64, known: &[Feature]) -> Self {
        let mut investigation = Investigation::new(Options::default());
        for feature in known {
            investigation.quarantine(now_ms, *feature);
        }
        Self {
            investigation,
            version: 1,
            is_complete: false,
            released: Vec::new(),
        }
    }

    /// Takes a VM's report into account; returns what was decided.
    fn record(&mut self, now_ms: u64, status: &Status) -> Vec<Decision> {
        for crash in &status.crashes {
            self.investigation.record_crash(now_ms, crash);
        }
        for answered in &status.answered {
            if self.investigation.record_answer(now_ms, answered) {
                self.version += 1;
                self.released.push(answered.feature);
                log::info!(
                    "quarantine: feature={} released reason=answered",
                    answered.feature
                );
            }
        }
        let decisions = self.investigation.decide(now_ms);
        self.version += decisions.len() as u64;
        decisions
    }

    /// Returns what a VM has to know that has a version of the quarantined features.
    fn reply(&mut self, now_ms: u64, known_version: u64) -> Reply {
        let is_known = known_version == self.version;
        let update = (!is_known).then(|| Update {
            version: self.version,
            complete: self.is_complete,
            features: self.investigation.quarantined().to_vec(),
        });
        Reply {
            suspects: self.investigation.suspects(now_ms),
            update,
        }
    }

    /// Adds features that former leaders stored, and returns how the stored ones differ.
    fn learn(&mut self, now_ms: u64, stored: &[Feature]) -> Differences {
        self.released.retain(|feature| stored.contains(feature));
        let known = self.investigation.quarantined().len();
        for feature in stored {
            if !self.released.contains(feature) {
                self.investigation.quarantine(now_ms, *feature);
            }
        }
        let quarantined = self.investigation.quarantined();
        let is_changed = !self.is_complete || quarantined.len() > known;
        self.is_complete = true;
        self.version += u64::from(is_changed);
        let missing = quarantined
            .iter()
            .filter(|feature| !stored.contains(feature));
        Differences {
            missing: missing.copied().collect(),
            released: self.released.clone(),
        }
    }

    /// Releases a feature.
    fn release(&mut self, now_ms: u64, feature: Feature) {
        let answered = Answered { feature, ago_ms: 0 };
        if self.investigation.record_answer(now_ms, &answered) {
            self.version += 1;
            log::info!("quarantine: feature={feature} released reason=removed");
        }
    }
}

impl<N> Leadership<N> {
    /// Takes a VM's report on crashed endpoints into account, and returns what the VM has to know; nothing unless this VM leads.
    pub(super) fn investigate(&self, status: &Status) -> Reply {
        let result = self.with_leader_state(|state, now_ms| {
            let is_same_term = status.fence == state.fence;
            let decisions = state.findings.record(now_ms, status);
            let known_version = if is_same_term {
                status.quarantine_version
            } else {
                0
            };
            let has_released = !state.findings.released.is_empty();
            let reply = state.findings.reply(now_ms, known_version);
            (decisions, has_released, reply)
        });
        let Some((decisions, has_released, reply)) = result else {
            return Reply::default();
        };
        for Decision { feature, crashes } in &decisions {
            log::warn!("quarantine: feature={feature} quarantined crashes={crashes}");
        }
        let features: Vec<Feature> = decisions.iter().map(|decision| decision.feature).collect();
        self.quarantine.add(&features);
        if !features.is_empty() || has_released {
            self.quarantine_changed.notify_one();
        }
        reply
    }

    /// Adds the features that former leaders stored, and returns how the stored ones differ; `None` unless this VM leads.
    pub(crate) fn learn_quarantine(&self, stored: &[Feature]) -> Option<Differences> {
        self.with_leader_state(|state, now_ms| state.findings.learn(now_ms, stored))
    }

    /// Releases a feature whose record an operator has removed, if this VM leads.
    pub(crate) fn release_quarantine(&self, feature: Feature) {
        self.with_leader_state(|state, now_ms| state.findings.release(now_ms, feature));
    }
}
