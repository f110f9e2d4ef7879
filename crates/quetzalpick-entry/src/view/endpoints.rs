//! Follows the entries of endpoints.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::topic::{Record, Records, Topic, Topics};
use quetzalpick_core::id::{Endpoint, Position};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::fleet::{Fleet, Spec};
use crate::view::{DependencyStatus, View};
use crate::wire::RecordCodec;

/// Time for which an endpoint is kept after its entry expired, in ms: requests may still be in flight there.
const REMOVE_AFTER_MS: u64 = 20_000;

/// Pause between two checks whether the leader still relays entries.
const RELAY_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// `EndpointFollower` keeps the fleet up to date with the endpoints topic.
#[derive(Debug)]
pub(crate) struct EndpointFollower<T, C> {
    pub(crate) topics: T,
    pub(crate) record_codec: C,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    /// Pause between two reads.
    pub(crate) interval: Duration,
    /// Time after an outage in which expired entries may be renewed.
    pub(crate) grace: Duration,
}

/// `PendingExpiries` holds the entries that expired around an outage until the end of the grace period.
#[derive(Debug, Default)]
struct PendingExpiries {
    pending: Vec<Endpoint>,
    /// End of the grace period in which entries may be renewed, in ms.
    grace_until_ms: u64,
    /// Whether the next complete list is that of an older copy, which may hold entries that have expired since.
    is_restored: bool,
}

impl<T: Topics, C: RecordCodec> EndpointFollower<T, C> {
    /// Follows the topic until cancelled.
    pub(crate) async fn run(self) {
        let mut status = DependencyStatus::new("endpoints-topic");
        let mut expiries = PendingExpiries::default();
        let mut next = None;
        loop {
            if self.view.is_relayed(self.clock.now_ms()) {
                next = None;
                expiries.pending.clear();
                sleep(RELAY_PAUSE).await;
                continue;
            }
            let sent_ms = self.clock.now_ms();
            let read = match next {
                Some(from) => {
                    let read = self
                        .topics
                        .read(Topic::Endpoints, Some(from), Duration::ZERO);
                    read.await
                }
                None => self.topics.newest(Topic::Endpoints).await,
            };
            // After a trim or a restore, the newest records are read at once.
            let is_void = matches!(read, Err(Error::Trimmed { .. } | Error::Restored { .. }));
            let failed = read.is_err() && !is_void;
            let reaches_end = matches!(&read, Ok(records) if records.reaches_end());
            let (from, pause) = self.apply_read(next, read, &mut status, &mut expiries);
            // An endpoint that has not written its entry again may run a build that the entries do not show.
            if reaches_end && !self.view.awaits_rewrites(sent_ms) {
                self.fleet.record_read(sent_ms);
            }
            next = from;
            if failed {
                self.view.pause(pause).await;
            } else {
                sleep(pause).await;
            }
        }
    }

    /// Applies the result of a read; returns the offset of the next one and the pause before it.
    fn apply_read(
        &self,
        from: Option<Position>,
        read: Result<Records>,
        status: &mut DependencyStatus,
        expiries: &mut PendingExpiries,
    ) -> (Option<Position>, Duration) {
        let now_ms = self.clock.now_ms();
        match read {
            Ok(records) => {
                self.view.observe_era(now_ms, records.next.era);
                if status.record_answer(now_ms).is_some() {
                    self.begin_grace(now_ms, expiries);
                }
                let pause = if records.reaches_end() {
                    self.interval
                } else {
                    Duration::ZERO
                };
                let next = records.next;
                self.apply(from.is_none(), records.records, expiries);
                self.expire_pending(now_ms, expiries);
                self.fleet
                    .remove_expired(now_ms, now_ms.saturating_sub(REMOVE_AFTER_MS));
                (Some(next), pause)
            }
            Err(Error::Trimmed { oldest }) => {
                log::info!("view: topic=endpoints trimmed oldest={oldest} action=read-newest");
                (None, Duration::ZERO)
            }
            Err(Error::Restored { era }) => {
                self.view.observe_era(now_ms, era);
                self.begin_grace(now_ms, expiries);
                expiries.is_restored = true;
                (None, Duration::ZERO)
            }
            Err(error) => {
                status.record_failure(now_ms, &error);
                (from, RETRY_PAUSE)
            }
        }
    }

    /// Begins the grace period in which endpoints may renew entries that are missing.
    fn begin_grace(&self, now_ms: u64, expiries: &mut PendingExpiries) {
        let grace_ms = u64::try_from(self.grace.as_millis()).unwrap_or(u64::MAX);
        expiries.grace_until_ms = now_ms.saturating_add(grace_ms);
    }

    /// Applies records; a complete list also expires the entries that it does not contain.
    fn apply(&self, complete: bool, records: Vec<Record>, expiries: &mut PendingExpiries) {
        let is_restored = std::mem::take(&mut expiries.is_restored);
        let mut listed = Vec::with_capacity(records.len());
        for record in records {
            let Ok(endpoint) = Endpoint::try_new(&record.key) else {
                log::warn!("view: endpoint ignored reason=\"invalid name\"");
                continue;
            };
            expiries.pending.retain(|expired| *expired != endpoint);
            let spec = record
                .value
                .and_then(|value| self.decode(&endpoint, &value));
            match spec {
                // An endpoint that lives writes its entry again.
                Some(_) if is_restored && self.fleet.is_expired(&endpoint) => {
                    log::info!(
                        "view: endpoint={endpoint} ignored reason=\"expired before the restore\""
                    );
                }
                Some(spec) => self.update(endpoint.clone(), spec),
                None => expiries.pending.push(endpoint.clone()),
            }
            listed.push(endpoint);
        }
        if complete {
            expiries.pending.extend(self.fleet.missing_from(&listed));
        }
    }

    /// Applies an entry.
    fn update(&self, endpoint: Endpoint, spec: Spec) {
        let state = spec.state;
        if self
            .fleet
            .update(self.clock.now_ms(), endpoint.clone(), spec)
        {
            log::info!("view: endpoint={endpoint} state={state}");
        }
    }

    /// Marks the pending entries as expired once the grace period is over.
    fn expire_pending(&self, now_ms: u64, expiries: &mut PendingExpiries) {
        if now_ms < expiries.grace_until_ms {
            return;
        }
        for endpoint in expiries.pending.drain(..) {
            if self.fleet.expire(now_ms, &endpoint) {
                log::info!("view: endpoint={endpoint} state=gone");
            }
        }
    }

    /// Decodes an entry; one that cannot be decoded is treated as expired.
    fn decode(&self, endpoint: &Endpoint, value: &Bytes) -> Option<Spec> {
        match self.record_codec.endpoint(value) {
            Ok(spec) => Some(spec),
            Err(error) => {
                log::warn!("view: endpoint={endpoint} ignored reason=\"{error}\"");
                None
            }
        }
    }
}
