//! The origins that this VM knows, and what it has told the VMs that keep them.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use quetzalpick_client::topic::Record;
use quetzalpick_core::id::Service;
use quetzalpick_core::table::Table;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::fleet::STREAM_TTL_MS;
use crate::origin::attempt::Attempt;
use crate::origin::recent::Recent;
use crate::origin::unstored::Unstored;
use crate::origin::{Origin, Stored, StoredRow};
use crate::sync::lock;

/// Longest attempt id that is recorded, in bytes.
const ATTEMPT_MAX_BYTES: usize = 128;

/// Most streams of this VM that are kept for other VMs.
const OWN_MAX: usize = 16_384;

/// Longest wait for a read of the stored origins.
const STORED_WAIT: Duration = Duration::from_millis(500);

/// `StoredOrigin` is what the topic of origins says of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StoredOrigin {
    /// Where the stream began.
    Known(Origin),
    /// It is not stored, and its service runs several builds or did recently.
    Unknown,
    /// The service has run one build while streams began that may be taken up now.
    OneBuild,
    /// The topic was not read in time.
    Unread,
}

/// `Origins` stores where streams began, and tracks which of its own streams each registrar was told.
#[derive(Debug, Default)]
pub struct Origins {
    state: Mutex<State>,
    changed: Notify,
    stored: Mutex<Stored>,
    /// Signals that the stored origins are to be read.
    pub(crate) read_requested: Notify,
    /// Send time of the last successful read of the stored origins, in ms.
    read_ms: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    recent: Recent,
    unstored: Unstored,
    /// Streams that this VM began, oldest first.
    own: VecDeque<OwnStream>,
    /// Number of the first row of `own`, counted from the start of the process.
    first: u64,
    /// Number of the next row of `own` to tell, by the address of the registrar.
    told: Table<String, u64>,
    /// Time at which other VMs last had to know a stream, in ms.
    shared_ms: Option<u64>,
}

#[derive(Debug)]
struct OwnStream {
    began_ms: u64,
    attempt: String,
    origin: Origin,
}

/// `Batch` holds the streams that a registrar has not been told.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Batch {
    /// Attempts that began a stream, with their origins.
    pub(crate) rows: Vec<(String, Origin)>,
    /// Number of the row behind the last one.
    pub(crate) next: u64,
}

impl Origins {
    /// Records a stream that this VM began; `shared` tells whether other VMs have to know it.
    pub fn record(&self, now_ms: u64, attempt: &str, origin: &Origin, shared: bool) {
        if attempt.len() > ATTEMPT_MAX_BYTES {
            return;
        }
        let mut state = self.lock();
        state.remember(now_ms, attempt.to_owned(), origin.clone());
        state.own.push_back(OwnStream {
            began_ms: now_ms,
            attempt: attempt.to_owned(),
            origin: origin.clone(),
        });
        state.expire(now_ms);
        if shared {
            state.shared_ms = Some(now_ms);
            self.changed.notify_one();
        }
    }

    /// Records streams that another VM began.
    pub fn accept(&self, now_ms: u64, rows: impl IntoIterator<Item = (String, Origin)>) {
        let mut state = self.lock();
        for (attempt, origin) in rows {
            state.remember(now_ms, attempt, origin);
        }
    }

    /// Returns what the topic says of a stream as of now or later; waits for a read if necessary.
    pub(crate) async fn find_stored(
        &self,
        now_ms: u64,
        service: &Service,
        attempt: Option<&str>,
    ) -> StoredOrigin {
        let mut read_ms = self.read_ms.subscribe();
        self.read_requested.notify_one();
        let read = timeout(STORED_WAIT, read_ms.wait_for(|read_ms| *read_ms >= now_ms));
        let is_read = read.await.is_ok();
        let stored = lock(&self.stored);
        match attempt.and_then(|attempt| stored.find(Attempt::of(attempt))) {
            Some(origin) => StoredOrigin::Known(origin.clone()),
            None if !is_read => StoredOrigin::Unread,
            None if stored.runs_several_builds(service) => StoredOrigin::Unknown,
            None => StoredOrigin::OneBuild,
        }
    }

    /// Returns the send time of the last read that found a service unmarked, in ms; `None` if it is marked.
    pub(crate) fn unmarked_ms(&self, service: &Service) -> Option<u64> {
        let is_marked = self.with_stored(|stored| stored.runs_several_builds(service));
        (!is_marked).then(|| *self.read_ms.borrow())
    }

    /// Calls `act` with what was read from the topic.
    pub(crate) fn with_stored<T>(&self, act: impl FnOnce(&mut Stored) -> T) -> T {
        act(&mut lock(&self.stored))
    }

    /// Applies the records of a read, and wakes those that wait for it; `as_of_ms` is its send time if it shows all of the topic.
    pub(crate) fn apply_stored(&self, as_of_ms: Option<u64>, records: &[Record]) {
        self.with_stored(|stored| records.iter().for_each(|record| stored.apply(record)));
        if let Some(as_of_ms) = as_of_ms {
            self.read_ms.send_replace(as_of_ms);
        }
    }

    /// Replaces what was read by the newest records of all keys: marks may have been removed meanwhile.
    pub(crate) fn replace_stored(&self, as_of_ms: Option<u64>, records: &[Record]) {
        self.with_stored(|stored| *stored = Stored::default());
        self.apply_stored(as_of_ms, records);
    }

    /// Removes and returns up to `max` streams that are to be stored.
    pub(crate) fn take_unstored(&self, now_ms: u64, max: usize) -> Vec<StoredRow> {
        let stored = lock(&self.stored);
        if !stored.is_any_marked() {
            return Vec::new();
        }
        let is_wanted = |service: &Service| stored.runs_several_builds(service);
        lock(&self.state).unstored.take(now_ms, max, is_wanted)
    }

    /// Marks all recent streams as not stored, as the topic may have lost what was stored.
    pub(crate) fn store_again(&self, now_ms: u64) {
        let mut state = self.lock();
        let State {
            recent, unstored, ..
        } = &mut *state;
        unstored.clear();
        for (attempt, origin) in recent.rows(now_ms) {
            unstored.record(now_ms, Attempt::of(attempt), origin);
        }
    }

    /// Returns where the stream began that an attempt brought.
    pub fn find(&self, now_ms: u64, attempt: &str) -> Option<Origin> {
        self.lock().recent.find(now_ms, attempt)
    }

    /// Waits until there may be something to tell.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that other VMs have to know the streams that are under way.
    pub(crate) fn share(&self, now_ms: u64) {
        self.lock().shared_ms = Some(now_ms);
        self.changed.notify_one();
    }

    /// Wakes the task that tells the registrars, if other VMs had to know a stream recently.
    pub(crate) fn registrars_changed(&self, now_ms: u64) {
        let shared_ms = self.lock().shared_ms;
        if shared_ms.is_some_and(|shared_ms| now_ms < shared_ms + STREAM_TTL_MS) {
            self.changed.notify_one();
        }
    }

    /// Returns the streams that a registrar has not been told.
    pub(crate) fn untold(&self, now_ms: u64, registrar: &str) -> Batch {
        let mut state = self.lock();
        state.expire(now_ms);
        let from = state.told.get(registrar).copied().unwrap_or_default();
        let skipped = usize::try_from(from.saturating_sub(state.first)).unwrap_or(usize::MAX);
        let rows = state.own.iter().skip(skipped);
        Batch {
            rows: rows
                .map(|stream| (stream.attempt.clone(), stream.origin.clone()))
                .collect(),
            next: state.first + state.own.len() as u64,
        }
    }

    /// Records that a registrar was told all rows before `next`.
    pub(crate) fn record_told(&self, registrar: &str, next: u64) {
        self.lock().told.insert(registrar.to_owned(), next);
    }

    /// Forgets what former registrars were told.
    pub(crate) fn retain_registrars(&self, registrars: &[String]) {
        self.lock()
            .told
            .retain(|registrar, _| registrars.contains(registrar));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    /// Records a stream of this VM or of another one.
    fn remember(&mut self, now_ms: u64, attempt: String, origin: Origin) {
        self.unstored.record(now_ms, Attempt::of(&attempt), &origin);
        self.recent.record(now_ms, attempt, origin);
    }

    /// Removes own streams that can no longer be taken up, or that are too many.
    fn expire(&mut self, now_ms: u64) {
        let expired = |stream: &OwnStream| now_ms >= stream.began_ms + STREAM_TTL_MS;
        while self.own.len() > OWN_MAX || self.own.front().is_some_and(expired) {
            self.own.pop_front();
            self.first += 1;
        }
    }
}
