//! The newest published configuration and evacuations, as read in their topic or as relayed by the leader.

mod follower;

pub(crate) use follower::ConfigFollower;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::evacuation::{Evacuation, Read};
use quetzalpick_core::id::{Domain, Era, Position};
use quetzalpick_core::relay::{self, Freshness};
use quetzalpick_core::table::Table;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::config::Config;
use crate::errors::Result as DecodeResult;
use crate::sync::lock;
use crate::view::Change;

/// Pause after the first failed read, in ms; it doubles with each further failure.
const RETRY_MS: u64 = 150;

/// Maximum of that pause, in ms.
const RETRY_MAX_MS: u64 = 600;

/// Longest pause of the other topics' followers in an outage; a successful read of the configuration ends it earlier.
const OUTAGE_PAUSE: Duration = Duration::from_millis(1_500);

/// Time after a restore of the log service in which operators and endpoints write again what it has lost, in ms; a read before its
/// end does not show what was in force.
const REWRITE_MS: u64 = 2_000;

/// `View` stores the newest configuration and the time as of which it is current.
#[derive(Debug, Default)]
pub(crate) struct View {
    state: Mutex<State>,
    /// Wakes the follower when the leader has relayed its view.
    relay_received: Notify,
    /// Wakes the other topics' followers when a read succeeds after failures.
    reads_recovered: Notify,
    /// Newest era of the log service that this VM has heard of.
    era: watch::Sender<Option<Era>>,
    /// The evacuated failure domains, each with the earliest time at which its record may have been written, in ms, if it is known.
    evacuated: watch::Sender<Table<Domain, Option<u64>>>,
}

/// `State` holds the mutable state of a view.
#[derive(Debug, Default, Clone)]
struct State {
    config: Option<Arc<Config>>,
    /// Record from which the configuration was decoded.
    record: Bytes,
    /// Send time of the newest read that reached the end of the topic, in ms.
    as_of_ms: Option<u64>,
    /// Position after the newest read, from which reading goes on.
    next: Option<Position>,
    /// Own reads sent before this time are not current, in ms.
    rewritten_ms: u64,
    /// Record relayed by the leader that is not applied yet.
    relayed: Option<Relayed>,
    freshness: Freshness,
    evacuation: Evacuation,
    /// Number of own reads that failed since the last answer.
    failures: u32,
}

/// `Relayed` holds a record that the leader relayed.
#[derive(Debug, Clone)]
struct Relayed {
    record: Bytes,
    /// Send time of the leader's read, in ms.
    as_of_ms: u64,
    /// Position after that read.
    next: Option<Position>,
}

/// `Relay` is what the leader passes on of its view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Relay {
    /// Send time of the leader's read, in ms.
    pub(crate) as_of_ms: u64,
    /// Time until the next relay is due, in ms.
    pub(crate) interval_ms: u64,
    /// Position in the topic after the leader's read, if it named one.
    pub(crate) next: Option<Position>,
    /// The evacuated failure domains; `None` if the leader does not tell them, so that this VM must read them itself.
    pub(crate) evacuated: Option<Vec<Domain>>,
    pub(crate) content: Content,
}

/// `Content` is the configuration that a relay holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Content {
    /// The one that this VM has.
    Unchanged,
    /// The record of a newer one.
    Record(Bytes),
    /// The change to a newer one.
    Change(Change),
    /// A newer one that this VM must read itself.
    Unavailable,
}

/// `Newest` is the newest configuration that a VM has.
#[derive(Debug, Clone)]
pub(crate) struct Newest {
    pub(crate) version: u64,
    pub(crate) record: Bytes,
    /// Age of the view, in ms.
    pub(crate) age_ms: u64,
    /// Position in the topic after the newest read.
    pub(crate) next: Option<Position>,
    /// The evacuated failure domains.
    pub(crate) evacuated: Vec<Domain>,
}

impl State {
    /// Records that the view is current as of a read sent at `as_of_ms`, after which reading goes on at `next`, if it is given.
    fn advance(&mut self, as_of_ms: u64, next: Option<Position>) {
        self.as_of_ms = self.as_of_ms.max(Some(as_of_ms));
        self.next = next.or(self.next);
    }
}

impl View {
    /// Returns the current configuration; `None` before the first.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.lock(|state| state.config.clone())
    }

    /// Returns the age of the view, in ms; `None` before the first read.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let as_of_ms = self.lock(|state| state.as_of_ms)?;
        Some(now_ms.saturating_sub(as_of_ms))
    }

    /// Records in which era a call was answered; a newer one than before has begun with a restore of the log service. So may the first
    /// one that this VM hears of, unless the service was never restored.
    pub(crate) fn observe_era(&self, now_ms: u64, era: Era) {
        self.era.send_if_modified(|newest| {
            let former = *newest;
            if former >= Some(era) {
                return false;
            }
            *newest = Some(era);
            if era > Era::default() {
                log::warn!("view: the log service was restored era={era} former={former:?}");
                self.lock(|state| state.rewritten_ms = now_ms + REWRITE_MS);
            }
            former.is_some()
        });
    }

    /// Returns a receiver that is notified when the log service was restored.
    pub(crate) fn restores(&self) -> watch::Receiver<Option<Era>> {
        self.era.subscribe()
    }

    /// Returns whether records may be missing from the log service that others than the system are about to write again.
    pub(crate) fn awaits_rewrites(&self, now_ms: u64) -> bool {
        now_ms < self.lock(|state| state.rewritten_ms)
    }

    /// Returns a receiver that is notified when other failure domains are evacuated.
    pub(crate) fn evacuated(&self) -> watch::Receiver<Table<Domain, Option<u64>>> {
        self.evacuated.subscribe()
    }

    /// Changes what is known of evacuated failure domains by a read sent at `sent_ms`, by this VM or the leader; `sent_ms` is `None` if
    /// it did not reach the end of the topic.
    fn update_evacuation(
        &self,
        sent_ms: Option<u64>,
        position: Position,
        act: impl FnOnce(&mut Evacuation, Read),
    ) {
        self.evacuated.send_if_modified(|known| {
            let domains = self.lock(|state| {
                let read = Read {
                    position,
                    confirmed_ms: sent_ms.filter(|sent_ms| *sent_ms >= state.rewritten_ms),
                };
                act(&mut state.evacuation, read);
                state.evacuation.domains()
            });
            let changes = *known != domains;
            *known = domains;
            changes
        });
    }

    /// Applies a configuration if it is newer than the current one; returns whether it was applied.
    fn apply(&self, config: Config, record: &Bytes) -> bool {
        self.lock(|state| {
            let newer = |old: &Arc<Config>| config.version() > old.version();
            let applied = state.config.as_ref().is_none_or(newer);
            if applied {
                state.config = Some(Arc::new(config));
                state.record = record.clone();
            }
            applied
        })
    }

    /// Accepts the leader's relay.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the change cannot be applied to this VM's version; the relay is not used then.
    pub(crate) fn accept_relay(&self, now_ms: u64, relay: Relay) -> DecodeResult<()> {
        let record = match relay.content {
            Content::Unchanged => None,
            Content::Record(record) => Some(record),
            Content::Change(change) => match self.base(change.base_version) {
                Some(base) => Some(change.apply(&base)?),
                // This VM has read another version itself meanwhile.
                None => return Ok(()),
            },
            Content::Unavailable => {
                self.lock(|state| state.freshness = Freshness::default());
                self.relay_received.notify_one();
                return Ok(());
            }
        };
        let as_of_ms = relay.as_of_ms;
        if let Some(next) = relay.next {
            self.observe_era(now_ms, next.era);
        }
        let told = relay.evacuated.zip(relay.next);
        let told_next = told.as_ref().map(|(_, next)| *next);
        if let Some((domains, next)) = told {
            self.update_evacuation(Some(as_of_ms), next, |evacuation, read| {
                evacuation.replace(read, domains);
            });
        }
        self.lock(|state| {
            // If the leader does not tell of evacuations, own reads go on where they were.
            if told_next.is_some() {
                state.freshness.record(now_ms, as_of_ms, relay.interval_ms);
            }
            match record {
                Some(record) => {
                    state.relayed = Some(Relayed {
                        record,
                        as_of_ms,
                        next: told_next,
                    });
                }
                None if state.relayed.is_none() => state.advance(as_of_ms, told_next),
                None => {}
            }
        });
        self.relay_received.notify_one();
        Ok(())
    }

    /// Returns the record of a version if this VM has that one; 0 stands for none, with an empty record.
    fn base(&self, version: u64) -> Option<Bytes> {
        self.lock(|state| {
            let known = state.config.as_ref().map_or(0, |config| config.version());
            match version {
                0 => Some(Bytes::new()),
                version if version == known => Some(state.record.clone()),
                _ => None,
            }
        })
    }

    /// Returns the newest configuration for other VMs; `None` while own reads fail.
    pub(crate) fn newest(&self, now_ms: u64) -> Option<Newest> {
        self.lock(|state| {
            let config = state.config.as_ref().filter(|_| state.failures == 0)?;
            Some(Newest {
                version: config.version(),
                record: state.record.clone(),
                age_ms: now_ms.saturating_sub(state.as_of_ms?),
                next: state.next,
                evacuated: state.evacuation.domains().keys().cloned().collect(),
            })
        })
    }

    /// Returns whether the leader's relay is current, so that this VM need not read the topics.
    pub(crate) fn is_relayed(&self, now_ms: u64) -> bool {
        let freshness = self.lock(|state| state.freshness);
        freshness.is_current(now_ms, &relay::Options::default())
    }

    /// Returns the position from which reading goes on; `None` if the newest record must be read.
    fn next(&self) -> Option<Position> {
        self.lock(|state| state.next)
    }

    /// Records that an own read succeeded.
    fn record_answer(&self) {
        if self.lock(|state| std::mem::take(&mut state.failures)) > 0 {
            self.reads_recovered.notify_waiters();
        }
    }

    /// Records that an own read failed, and returns the pause before the next one.
    fn record_failure(&self) -> Duration {
        let failures = self.lock(|state| {
            let failures = state.failures;
            state.failures = failures.saturating_add(1);
            failures
        });
        Duration::from_millis((RETRY_MS << failures.min(8)).min(RETRY_MAX_MS))
    }

    /// Waits before a failed call to another topic is repeated: for `pause`, or in an outage until it ends or a longer
    /// pause is over, so that all VMs together send few futile calls.
    pub(crate) async fn pause(&self, pause: Duration) {
        if self.lock(|state| state.failures) == 0 {
            return sleep(pause).await;
        }
        // The caller retries in either case.
        let _ = timeout(OUTAGE_PAUSE, self.reads_recovered.notified()).await;
    }

    fn lock<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut lock(&self.state))
    }
}
