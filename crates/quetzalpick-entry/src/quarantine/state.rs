//! The quarantine as this VM knows it.

use std::sync::{Mutex, MutexGuard};

use quetzalpick_core::quarantine::{Answered, Crash, Feature, Options, Witness};
use tokio::sync::Notify;

use crate::fleet::Pick;
use crate::quarantine::{Block, Reason, Update};
use crate::sync::lock;

/// `Quarantine` stores the quarantined features, and what this VM has seen of requests that crash endpoints.
#[derive(Debug)]
pub(crate) struct Quarantine {
    state: Mutex<State>,
    /// Wakes the task that reports to the leader.
    changed: Notify,
}

#[derive(Debug)]
struct State {
    witness: Witness,
    /// Incremented with each crash.
    revision: u64,
    /// Leader, by its fencing number, and the revision that it was told.
    told: (u64, u64),
    /// Quarantined features, sorted.
    features: Vec<Feature>,
    /// Leader, by its fencing number, and the version of its features that this VM has.
    version: (u64, u64),
    /// Parts about which the leader asks.
    suspects: Vec<Feature>,
    /// Whether the leader did not answer the last status.
    is_alone: bool,
}

/// `Report` holds what this VM tells the leader.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Report {
    /// Crashes that this leader has not been told.
    pub(crate) crashes: Vec<Crash>,
    /// Answers to requests with suspected features.
    pub(crate) answered: Vec<Answered>,
    /// Version of the quarantined features that this VM has from this leader.
    pub(crate) version: u64,
    /// Revision of this VM's evidence.
    pub(crate) revision: u64,
}

impl Default for Quarantine {
    fn default() -> Self {
        let state = State {
            witness: Witness::new(Options::default()),
            revision: 0,
            told: (0, 0),
            features: Vec::new(),
            version: (0, 0),
            suspects: Vec::new(),
            is_alone: false,
        };
        Self {
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }
}

impl Quarantine {
    /// Records that requests with these features were answered.
    pub(crate) fn record_answer(&self, now_ms: u64, features: impl Iterator<Item = Feature>) {
        self.lock().witness.record_answer(now_ms, features);
    }

    /// Records that an endpoint ended while it ran a request with these features.
    pub(crate) fn record_crash(
        &self,
        now_ms: u64,
        pick: &Pick,
        features: impl IntoIterator<Item = Feature>,
    ) {
        let mut state = self.lock();
        state
            .witness
            .record_crash(now_ms, &pick.endpoint, pick.started_ms, features);
        state.revision += 1;
        self.changed.notify_one();
    }

    /// Waits until the leader has to know something at once: a crash, or an answer to a feature that it began to suspect.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns why a request with these features must not be sent, if so.
    pub(crate) fn block(
        &self,
        now_ms: u64,
        mut features: impl Iterator<Item = Feature> + Clone,
    ) -> Option<Block> {
        let state = self.lock();
        let quarantined = |feature: &Feature| state.features.binary_search(feature).is_ok();
        let suspected = |feature: &Feature| {
            let is_new = state.witness.answered_ms(*feature).is_none();
            is_new && state.witness.suspects_alone(*feature, now_ms)
        };
        let found = features.clone().find(quarantined);
        let found = found.map(|feature| (feature, Reason::Quarantined));
        let found = found.or_else(|| {
            let feature = features.find(|feature| state.is_alone && suspected(feature))?;
            Some((feature, Reason::Suspected))
        });
        found.map(|(feature, reason)| Block { feature, reason })
    }

    /// Returns what to tell the leader with a fencing number.
    pub(crate) fn report(&self, now_ms: u64, fence: u64) -> Report {
        let mut state = self.lock();
        let state = &mut *state;
        let is_told = state.told == (fence, state.revision);
        let crashes = if is_told {
            Vec::new()
        } else {
            state.witness.crashes(now_ms)
        };
        let (known_fence, version) = state.version;
        // An answer to a quarantined feature releases it.
        let asked = [&state.suspects[..], &state.features[..]].concat();
        Report {
            crashes,
            answered: state.witness.answers_to(now_ms, &asked),
            version: if known_fence == fence { version } else { 0 },
            revision: state.revision,
        }
    }

    /// Applies the leader's answer to a report of a revision.
    pub(crate) fn apply(
        &self,
        fence: u64,
        revision: u64,
        suspects: &[Feature],
        update: Option<&Update>,
    ) {
        let mut state = self.lock();
        state.told = (fence, revision);
        state.is_alone = false;
        let is_news = |feature: &&Feature| {
            !state.suspects.contains(feature) && state.witness.answered_ms(**feature).is_some()
        };
        if suspects.iter().any(|feature| is_news(&feature)) {
            self.changed.notify_one();
        }
        state.suspects = suspects.to_vec();
        let Some(update) = update else { return };
        state.version = (fence, update.version);
        if update.complete {
            state.features.clear();
        }
        state.add(&update.features);
    }

    /// Records that no leader answered.
    pub(crate) fn record_no_answer(&self) {
        self.lock().is_alone = true;
    }

    /// Adds quarantined features.
    pub(crate) fn add(&self, features: &[Feature]) {
        self.lock().add(features);
    }

    /// Returns the quarantined features, sorted.
    pub(crate) fn features(&self) -> Vec<Feature> {
        self.lock().features.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn add(&mut self, features: &[Feature]) {
        self.features.extend(features);
        self.features.sort_unstable();
        self.features.dedup();
    }
}
