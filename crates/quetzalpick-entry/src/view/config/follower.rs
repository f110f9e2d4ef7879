//! Follows the topic of the configuration, unless the leader relays what it reads.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::topic::{Record, Records, Topic, Topics};
use quetzalpick_core::id::Domain;
use strum::Display;
use tokio::time::{sleep, timeout};

use super::View;
use crate::clock::Clock;
use crate::config::Config;
use crate::fleet::Fleet;
use crate::view::DependencyStatus;
use crate::wire::RecordCodec;

/// Longest pause between two checks for a relay from the leader.
const RELAY_PAUSE: Duration = Duration::from_millis(200);

/// `Source` tells from where a configuration came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum Source {
    Leader,
    Topic,
}

/// `ConfigFollower` keeps the view up to date with the configuration topic.
#[derive(Debug)]
pub(crate) struct ConfigFollower<T, C> {
    pub(crate) topics: T,
    pub(crate) record_codec: C,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    pub(crate) fleet: Arc<Fleet>,
    /// Time for which a read waits for new records.
    pub(crate) wait: Duration,
}

impl<T: Topics, C: RecordCodec> ConfigFollower<T, C> {
    /// Follows the topic until cancelled.
    pub(crate) async fn run(self) {
        let mut status = DependencyStatus::new("config-topic");
        let mut was_relayed = false;
        loop {
            let now_ms = self.clock.now_ms();
            let is_relayed = self.view.is_relayed(now_ms);
            let lapsed = was_relayed && !is_relayed;
            if is_relayed != was_relayed {
                let age_ms = self.view.age_ms(now_ms);
                log::info!("view: relayed={is_relayed} age_ms={age_ms:?}");
                was_relayed = is_relayed;
            }
            self.apply_relayed();
            if is_relayed {
                let _ = timeout(RELAY_PAUSE, self.view.relay_received.notified()).await;
                self.apply_relayed();
                continue;
            }
            let sent_ms = self.clock.now_ms();
            // The view is old already when the relay lapses.
            let wait = if lapsed { Duration::ZERO } else { self.wait };
            let from = self.view.next();
            let read = match from {
                Some(from) => self.topics.read(Topic::Config, Some(from), wait).await,
                None => self.topics.newest(Topic::Config).await,
            };
            let is_newest = from.is_none();
            self.apply_read(sent_ms, is_newest, read, &mut status).await;
        }
    }

    /// Applies the record that the leader relayed, if any.
    fn apply_relayed(&self) {
        let Some(relayed) = self.view.lock(|state| state.relayed.take()) else {
            return;
        };
        self.apply(&relayed.record, Source::Leader);
        self.view
            .lock(|state| state.advance(relayed.as_of_ms, relayed.next));
    }

    /// Applies the result of a read, of the newest record of each key or of the records after the former read, and waits after a failure.
    async fn apply_read(
        &self,
        sent_ms: u64,
        is_newest: bool,
        read: Result<Records>,
        status: &mut DependencyStatus,
    ) {
        let now_ms = self.clock.now_ms();
        match read {
            Ok(records) => {
                status.record_answer(now_ms);
                self.view.record_answer();
                self.view.observe_era(now_ms, records.next.era);
                self.apply_evacuations(sent_ms, is_newest, &records);
                records
                    .records
                    .iter()
                    .for_each(|record| self.apply_record(record));
                let next = Some(records.next);
                self.view.lock(|state| {
                    // What was written last may be lost, and not be there again.
                    if records.reaches_end() && sent_ms >= state.rewritten_ms {
                        state.advance(sent_ms, next);
                    } else {
                        state.next = next;
                    }
                });
            }
            // The trimmed records may have held a newer configuration, so the newest record is read again.
            Err(Error::Trimmed { oldest }) => {
                log::info!("view: topic=config trimmed oldest={oldest} action=read-newest");
                self.view.lock(|state| state.next = None);
            }
            // What was written since may be anywhere, also before the position that was reached.
            Err(Error::Restored { era }) => {
                status.record_answer(now_ms);
                self.view.observe_era(now_ms, era);
                self.view.lock(|state| state.next = None);
            }
            Err(error) => {
                status.record_failure(now_ms, &error);
                let pause = self.view.record_failure();
                sleep(pause).await;
            }
        }
    }

    /// Applies what the records of a read tell of evacuated failure domains.
    fn apply_evacuations(&self, sent_ms: u64, is_newest: bool, records: &Records) {
        let changes: Vec<(Domain, bool)> = records
            .records
            .iter()
            .filter_map(|record| self.evacuation(record))
            .collect();
        let sent_ms = records.reaches_end().then_some(sent_ms);
        self.view
            .update_evacuation(sent_ms, records.next, |evacuation, read| {
                if is_newest {
                    let domains = changes.into_iter().map(|(domain, _)| domain);
                    evacuation.replace(read, domains);
                } else {
                    evacuation.apply(read, changes);
                }
            });
    }

    /// Returns the failure domain that a record concerns, and whether it is evacuated from then on; `None` for other records.
    fn evacuation(&self, record: &Record) -> Option<(Domain, bool)> {
        let domain = self.record_codec.evacuated_domain(&record.key);
        let domain = domain.inspect_err(|error| {
            let key = &record.key;
            log::warn!("evacuation: record ignored key={key:?} reason=\"{error}\"");
        });
        Some((domain.ok()??, record.value.is_some()))
    }

    /// Applies one record.
    fn apply_record(&self, record: &Record) {
        if let Some(value) = record.value.as_ref().filter(|_| self.is_config(record)) {
            self.apply(value, Source::Topic);
        }
    }

    /// Applies a configuration; if it cannot be decoded, the current one is kept.
    fn apply(&self, value: &Bytes, source: Source) {
        match self.record_codec.config(value) {
            Ok(config) => {
                let version = config.version();
                self.apply_warmups(&config);
                let applied = self.view.apply(config, value);
                let bytes = value.len();
                log::info!(
                    "view: config version={version} taken={applied} from={source} bytes={bytes}"
                );
            }
            Err(error) => log::warn!("view: config ignored reason=\"{error}\""),
        }
    }

    /// Tells the fleet how the endpoints of services start, unless the configuration is an older one.
    fn apply_warmups(&self, config: &Config) {
        let current = self.view.config();
        if current.is_some_and(|current| current.version() >= config.version()) {
            return;
        }
        let services = config.services().values();
        let warmups = services.filter_map(|service| Some((service.name.clone(), service.warmup?)));
        self.fleet.set_warmups(warmups.collect());
    }

    fn is_config(&self, record: &Record) -> bool {
        record.key == self.record_codec.config_key()
    }
}
