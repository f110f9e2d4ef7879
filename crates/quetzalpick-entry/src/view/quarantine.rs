//! Keeps the quarantined features in their topic: read at the start of a VM and while it leads, written by the leader.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::topic::{Record, Records, Topic, Topics};
use quetzalpick_core::id::Position;
use quetzalpick_core::quarantine::Feature;
use tokio::time::sleep;

use crate::lead::{Differences, Leadership};
use crate::quarantine::Quarantine;
use crate::view::View;

/// Pause between two reads of the leader, which notice what operators have removed.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Value of a feature's record, which carries no information beyond its key.
const VALUE: &[u8] = b"1";

/// `QuarantineFollower` reads the stored features and stores those that this VM quarantines while it leads.
#[derive(Debug)]
pub(crate) struct QuarantineFollower<T, N> {
    pub(crate) topics: T,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) lead: Arc<Leadership<N>>,
    pub(crate) view: Arc<View>,
}

impl<T: Topics, N> QuarantineFollower<T, N> {
    /// Follows the topic until cancelled.
    pub(crate) async fn run(self) {
        let mut next = None;
        let mut stored = Vec::new();
        let mut restores = self.view.restores();
        loop {
            if self.synchronize(&mut next, &mut stored).await.is_err() {
                self.view.pause(RETRY_PAUSE).await;
                continue;
            }
            if self.lead.is_leading() {
                // All of these lead to the same call; a restore may have lost features.
                tokio::select! {
                    () = sleep(READ_INTERVAL) => {}
                    () = self.lead.quarantine_changed.notified() => {}
                    _ = restores.changed() => {}
                }
            } else {
                self.lead.quarantine_changed.notified().await;
                // What was stored meanwhile is unknown.
                next = None;
            }
        }
    }

    /// Reads what has changed since `next`, or all features, and stores what is missing if this VM leads.
    ///
    /// # Errors
    ///
    /// Any error of a call; what was read remains applied.
    async fn synchronize(
        &self,
        next: &mut Option<Position>,
        stored: &mut Vec<Feature>,
    ) -> Result<()> {
        let read = match *next {
            Some(from) => {
                let read = self
                    .topics
                    .read(Topic::Quarantine, Some(from), Duration::ZERO);
                read.await
            }
            None => {
                stored.clear();
                self.topics.newest(Topic::Quarantine).await
            }
        };
        if matches!(read, Err(Error::Trimmed { .. } | Error::Restored { .. })) {
            *next = None;
        }
        let Records {
            records,
            next: after,
            ..
        } = read.inspect_err(|error| log::debug!("quarantine: not read reason=\"{error}\""))?;
        records.iter().for_each(|record| self.apply(record, stored));
        *next = Some(after);
        let Some(Differences { missing, released }) = self.lead.learn_quarantine(stored) else {
            // The leader tells this VM the rest.
            self.quarantine.add(stored);
            return Ok(());
        };
        for feature in missing {
            self.write(feature, Some(Bytes::from_static(VALUE))).await?;
        }
        for feature in released {
            self.write(feature, None).await?;
        }
        Ok(())
    }

    /// Applies a record of the topic; one that names no feature is ignored.
    fn apply(&self, record: &Record, stored: &mut Vec<Feature>) {
        let Ok(feature) = record.key.parse::<Feature>() else {
            log::warn!("quarantine: record ignored reason=\"the key is no feature\"");
            return;
        };
        match record.value {
            Some(_) if stored.contains(&feature) => {}
            Some(_) => stored.push(feature),
            None => {
                stored.retain(|known| *known != feature);
                self.lead.release_quarantine(feature);
            }
        }
    }

    /// Stores the record of a feature, or removes it if there is no value.
    async fn write(&self, feature: Feature, value: Option<Bytes>) -> Result<()> {
        let is_removal = value.is_none();
        let record = Record {
            key: feature.to_string(),
            value,
        };
        let result = self.topics.append(Topic::Quarantine, &record, None).await;
        let is_written = result.is_ok();
        log::info!("quarantine: feature={feature} written={is_written} removal={is_removal}");
        result.map(drop)
    }
}
