//! Follows the published configuration.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::topic::{Record, Records, Topic, Topics};
use quetzalpick_core::id::Offset;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::config::Config;
use crate::edge::Codec;
use crate::view::Contact;

/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// `View` is the newest configuration read, and how fresh it is.
#[derive(Debug, Default)]
pub(crate) struct View {
    seen: Mutex<Seen>,
}

/// `Seen` is what a view holds.
#[derive(Debug, Default, Clone)]
struct Seen {
    config: Option<Arc<Config>>,
    /// When the newest read that reached the end was sent, in ms.
    fresh_ms: Option<u64>,
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
    fn apply(&self, config: Config) -> bool {
        self.lock(|seen| {
            let newer = |old: &Arc<Config>| config.version() > old.version();
            let taken = seen.config.as_ref().is_none_or(newer);
            if taken {
                seen.config = Some(Arc::new(config));
            }
            taken
        })
    }

    /// Notes that the view was up to date at a time.
    fn refresh(&self, sent_ms: u64) {
        self.lock(|seen| seen.fresh_ms = seen.fresh_ms.max(Some(sent_ms)));
    }

    fn lock<T>(&self, act: impl FnOnce(&mut Seen) -> T) -> T {
        act(&mut self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// `ConfigFollower` keeps a view up to date.
#[derive(Debug)]
pub(crate) struct ConfigFollower<T, C> {
    pub(crate) topics: T,
    pub(crate) codec: C,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    /// How long a read waits for news.
    pub(crate) wait: Duration,
}

impl<T: Topics, C: Codec> ConfigFollower<T, C> {
    /// Follows for as long as it is polled.
    pub(crate) async fn run(self) {
        let mut contact = Contact::new("config-topic");
        let mut next = None;
        loop {
            let sent_ms = self.clock.now_ms();
            let read = match next {
                Some(from) => self.topics.read(Topic::Config, from, self.wait).await,
                None => self.topics.newest(Topic::Config).await,
            };
            next = self.take(sent_ms, next, read, &mut contact).await;
        }
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
                records.records.iter().for_each(|record| self.apply(record));
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
                sleep(RETRY_PAUSE).await;
                from
            }
        }
    }

    /// Takes in one record; one that cannot be read leaves the configuration in force.
    fn apply(&self, record: &Record) {
        let Some(value) = record.value.as_ref().filter(|_| self.is_config(record)) else {
            return;
        };
        match self.codec.config(value) {
            Ok(config) => {
                let version = config.version();
                let taken = self.view.apply(config);
                log::info!("view: config version={version} taken={taken}");
            }
            Err(error) => log::warn!("view: config passed over reason=\"{error}\""),
        }
    }

    fn is_config(&self, record: &Record) -> bool {
        record.key == self.codec.config_key()
    }
}
