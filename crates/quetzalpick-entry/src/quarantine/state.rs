//! The quarantine as this VM knows it.

use std::sync::{Mutex, MutexGuard};

use quetzalpick_core::quarantine::{Answered, Crash, Options, Part, Witness};
use tokio::sync::Notify;

use crate::fleet::Pick;
use crate::metadata;
use crate::quarantine::{Block, Reason, Update};
use crate::sync::lock;

/// `Quarantine` stores the quarantined parts, and what this VM has seen of parts that crash endpoints.
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
    /// Quarantined parts, sorted.
    parts: Vec<Part>,
    /// Leader, by its fencing number, and the version of its parts that this VM has.
    version: (u64, u64),
    /// Parts about which the leader asks.
    suspects: Vec<Part>,
    /// Whether the leader did not answer the last status.
    is_alone: bool,
}

/// `Report` holds what this VM tells the leader.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Report {
    /// Crashes that this leader has not been told.
    pub(crate) crashes: Vec<Crash>,
    /// Answers to requests with suspected parts.
    pub(crate) answered: Vec<Answered>,
    /// Version of the quarantined parts that this VM has from this leader.
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
            parts: Vec::new(),
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

/// Returns the identifiers of parts.
fn ids(parts: &[metadata::Part]) -> impl Iterator<Item = Part> {
    parts.iter().map(|part| Part(part.id))
}

impl Quarantine {
    /// Records that a request with these parts was answered.
    pub(crate) fn record_answer(&self, now_ms: u64, parts: &[metadata::Part]) {
        if !parts.is_empty() {
            self.lock().witness.record_answer(now_ms, ids(parts));
        }
    }

    /// Records that an endpoint ended before it began to answer a request with these parts.
    pub(crate) fn record_crash(&self, now_ms: u64, pick: &Pick, parts: &[metadata::Part]) {
        let mut state = self.lock();
        state
            .witness
            .record_crash(now_ms, &pick.endpoint, pick.started_ms, ids(parts));
        state.revision += 1;
        self.changed.notify_one();
    }

    /// Waits until the leader has to know something at once: a crash, or an answer to a part that it began to suspect.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns why a request with these parts must not be sent, if so.
    pub(crate) fn block(&self, now_ms: u64, parts: &[metadata::Part]) -> Option<Block> {
        if parts.is_empty() {
            return None;
        }
        let state = self.lock();
        let quarantined = |part: &Part| state.parts.binary_search(part).is_ok();
        let suspected = |part: &Part| {
            let is_new = state.witness.answered_ms(*part).is_none();
            is_new && state.witness.suspects_alone(*part, now_ms)
        };
        let found = ids(parts).find(quarantined);
        let found = found.map(|part| (part, Reason::Quarantined));
        let found = found.or_else(|| {
            let part = ids(parts).find(|part| state.is_alone && suspected(part))?;
            Some((part, Reason::Suspected))
        });
        found.map(|(part, reason)| Block { part, reason })
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
        // An answer to a quarantined part releases it.
        let asked = [&state.suspects[..], &state.parts[..]].concat();
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
        suspects: &[Part],
        update: Option<&Update>,
    ) {
        let mut state = self.lock();
        state.told = (fence, revision);
        state.is_alone = false;
        let is_news = |part: &&Part| {
            !state.suspects.contains(part) && state.witness.answered_ms(**part).is_some()
        };
        if suspects.iter().any(|part| is_news(&part)) {
            self.changed.notify_one();
        }
        state.suspects = suspects.to_vec();
        let Some(update) = update else { return };
        state.version = (fence, update.version);
        if update.complete {
            state.parts.clear();
        }
        state.add(&update.parts);
    }

    /// Records that no leader answered.
    pub(crate) fn record_no_answer(&self) {
        self.lock().is_alone = true;
    }

    /// Adds quarantined parts.
    pub(crate) fn add(&self, parts: &[Part]) {
        self.lock().add(parts);
    }

    /// Returns the quarantined parts, sorted.
    pub(crate) fn parts(&self) -> Vec<Part> {
        self.lock().parts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn add(&mut self, parts: &[Part]) {
        self.parts.extend(parts);
        self.parts.sort_unstable();
        self.parts.dedup();
    }
}
