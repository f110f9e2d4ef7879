//! Follows the published configuration.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::topic::{Record, Records, Topic, Topics};
use quetzalpick_core::id::Offset;
use quetzalpick_core::relay::{self, Freshness};
use quetzalpick_node::peer::Blob;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::config::Config;
use crate::exchange::ViewRelay;
use crate::view::Contact;
use crate::wire::RecordCodec;

/// Longest pause between two looks at what the leader passes on.
const RELAY_PAUSE: Duration = Duration::from_millis(200);

/// Shortest pause after a read that failed, in ms; it doubles while reads go on to fail.
const RETRY_MS: u64 = 150;

/// Longest such pause, in ms.
const RETRY_MAX_MS: u64 = 600;

/// Pause of the other topics' followers while the configuration's reads fail, which find out when the service is back.
const OUTAGE_PAUSE: Duration = Duration::from_millis(1_500);

/// `View` is the newest configuration read, and how fresh it is.
#[derive(Debug, Default)]
pub(crate) struct View {
    seen: Mutex<Seen>,
    /// Wakes the follower when the leader has passed something on.
    offered: Notify,
    /// Wakes the other topics' followers when a read is answered after others had failed.
    regained: Notify,
}

/// `Seen` is what a view holds.
#[derive(Debug, Default, Clone)]
struct Seen {
    config: Option<Arc<Config>>,
    /// The record that it was read from.
    record: Bytes,
    /// When the newest read that reached the end was sent, in ms.
    fresh_ms: Option<u64>,
    /// Record passed on by the leader that is not read yet, and when the leader's read of it was sent, in ms.
    offer: Option<(Bytes, u64)>,
    freshness: Freshness,
    /// Own reads that failed since one was answered.
    failures: u32,
}

impl View {
    /// Returns the configuration in force; `None` before the first.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.lock(|seen| seen.config.clone())
    }

    /// Returns the age of the view, in ms; `None` before the first read.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let fresh_ms = self.lock(|seen| seen.fresh_ms)?;
        Some(now_ms.saturating_sub(fresh_ms))
    }

    /// Takes in a configuration unless a newer one is in force; tells whether it is taken.
    fn apply(&self, config: Config, record: &Bytes) -> bool {
        self.lock(|seen| {
            let newer = |old: &Arc<Config>| config.version() > old.version();
            let taken = seen.config.as_ref().is_none_or(newer);
            if taken {
                seen.config = Some(Arc::new(config));
                seen.record = record.clone();
            }
            taken
        })
    }

    /// Takes in what the leader has read, as of `fresh_ms`.
    pub(crate) fn offer(&self, now_ms: u64, fresh_ms: u64, record: Option<Bytes>) {
        self.lock(|seen| {
            seen.freshness.record(now_ms, fresh_ms);
            match record {
                Some(record) => seen.offer = Some((record, fresh_ms)),
                None if seen.offer.is_none() => seen.fresh_ms = seen.fresh_ms.max(Some(fresh_ms)),
                None => {}
            }
        });
        self.offered.notify_one();
    }

    /// Returns what another VM is told of the view, which knows a version of the configuration.
    pub(crate) fn relay(&self, now_ms: u64, known: u64) -> Option<ViewRelay> {
        let seen = self.lock(|seen| seen.clone());
        if seen.failures > 0 {
            return None;
        }
        let newer = seen.config.is_some_and(|config| config.version() > known);
        Some(ViewRelay {
            record: newer.then(|| Blob(seen.record.clone())),
            age_ms: now_ms.saturating_sub(seen.fresh_ms?),
        })
    }

    /// Tells whether the leader passes on what is fresh, so that this VM need not read.
    pub(crate) fn is_relayed(&self, now_ms: u64) -> bool {
        let freshness = self.lock(|seen| seen.freshness);
        freshness.is_current(now_ms, &relay::Options::default())
    }

    /// Notes that the view was up to date at a time.
    fn refresh(&self, sent_ms: u64) {
        self.lock(|seen| seen.fresh_ms = seen.fresh_ms.max(Some(sent_ms)));
    }

    /// Notes that an own read was answered.
    fn note_answer(&self) {
        if self.lock(|seen| std::mem::take(&mut seen.failures)) > 0 {
            self.regained.notify_waiters();
        }
    }

    /// Notes that an own read failed, and returns the pause before the next one.
    fn note_failure(&self) -> Duration {
        let former = self.lock(|seen| {
            let former = seen.failures;
            seen.failures = former.saturating_add(1);
            former
        });
        Duration::from_millis((RETRY_MS << former.min(8)).min(RETRY_MAX_MS))
    }

    /// Waits before a call for another topic that failed is repeated: for `pause`, or in an outage until it ends or a
    /// longer time is over, so that all VMs together make few calls in vain.
    pub(crate) async fn pause(&self, pause: Duration) {
        if self.lock(|seen| seen.failures) == 0 {
            return sleep(pause).await;
        }
        // The end of the outage and that of the time mean the same here.
        let _ = timeout(OUTAGE_PAUSE, self.regained.notified()).await;
    }

    fn lock<T>(&self, act: impl FnOnce(&mut Seen) -> T) -> T {
        act(&mut self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// `ConfigFollower` keeps a view up to date.
#[derive(Debug)]
pub(crate) struct ConfigFollower<T, C> {
    pub(crate) topics: T,
    pub(crate) record_codec: C,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    /// How long a read waits for news.
    pub(crate) wait: Duration,
}

impl<T: Topics, C: RecordCodec> ConfigFollower<T, C> {
    /// Follows for as long as it is polled.
    pub(crate) async fn run(self) {
        let mut contact = Contact::new("config-topic");
        let mut next = None;
        loop {
            if self.view.is_relayed(self.clock.now_ms()) {
                self.take_offer();
                // What was read before may be long past once the relay ends.
                next = None;
                let _ = timeout(RELAY_PAUSE, self.view.offered.notified()).await;
                self.take_offer();
                continue;
            }
            let sent_ms = self.clock.now_ms();
            let read = match next {
                Some(from) => self.topics.read(Topic::Config, from, self.wait).await,
                None => self.topics.newest(Topic::Config).await,
            };
            next = self.take(sent_ms, next, read, &mut contact).await;
        }
    }

    /// Takes in what the leader passed on.
    fn take_offer(&self) {
        let Some((record, fresh_ms)) = self.view.lock(|seen| seen.offer.take()) else {
            return;
        };
        self.apply(&record);
        self.view.refresh(fresh_ms);
    }

    /// Takes in what a read brought, and returns where to read on.
    async fn take(
        &self,
        sent_ms: u64,
        from: Option<Offset>,
        read: Result<Records>,
        contact: &mut Contact,
    ) -> Option<Offset> {
        let now_ms = self.clock.now_ms();
        match read {
            Ok(records) => {
                contact.answered(now_ms);
                self.view.note_answer();
                records
                    .records
                    .iter()
                    .for_each(|record| self.take_record(record));
                if records.reaches_end() {
                    self.view.refresh(sent_ms);
                }
                Some(records.next)
            }
            // What was trimmed may have held news, so that the newest is read anew.
            Err(Error::Trimmed { oldest }) => {
                log::info!("view: topic=config trimmed oldest={oldest} action=read-newest");
                None
            }
            Err(error) => {
                contact.failed(now_ms, &error);
                let pause = self.view.note_failure();
                sleep(pause).await;
                from
            }
        }
    }

    /// Takes in one record.
    fn take_record(&self, record: &Record) {
        if let Some(value) = record.value.as_ref().filter(|_| self.is_config(record)) {
            self.apply(value);
        }
    }

    /// Takes in a configuration; one that cannot be read leaves the one in force.
    fn apply(&self, value: &Bytes) {
        match self.record_codec.config(value) {
            Ok(config) => {
                let version = config.version();
                let taken = self.view.apply(config, value);
                log::info!("view: config version={version} taken={taken}");
            }
            Err(error) => log::warn!("view: config passed over reason=\"{error}\""),
        }
    }

    fn is_config(&self, record: &Record) -> bool {
        record.key == self.record_codec.config_key()
    }
}
