//! Follows what the endpoints say of themselves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::topic::{Record, Records, Topic, Topics};
use quetzalpick_core::id::{Endpoint, Offset};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::fleet::{Fleet, Spec};
use crate::view::{Contact, View};
use crate::wire::RecordCodec;

/// Time for which an endpoint without an entry is remembered, in ms: its requests may still be under way.
const FORGET_AFTER_MS: u64 = 20_000;

/// Pause between two looks whether the leader passes entries on.
const RELAY_PAUSE: Duration = Duration::from_millis(200);

/// Failed reads are repeated after this pause.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// `EndpointFollower` keeps the fleet up to date.
#[derive(Debug)]
pub(crate) struct EndpointFollower<T, C> {
    pub(crate) topics: T,
    pub(crate) record_codec: C,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    /// Pause between two reads.
    pub(crate) interval: Duration,
    /// Time after an outage in which lapsed entries may come back.
    pub(crate) grace: Duration,
}

/// `Lapses` holds the entries that lapsed around an outage, until they are taken to be gone.
#[derive(Debug, Default)]
struct Lapses {
    pending: Vec<Endpoint>,
    /// End of the time in which entries may come back, in ms.
    until_ms: u64,
}

impl<T: Topics, C: RecordCodec> EndpointFollower<T, C> {
    /// Follows for as long as it is polled.
    pub(crate) async fn run(self) {
        let mut contact = Contact::new("endpoints-topic");
        let mut lapses = Lapses::default();
        let mut next = None;
        loop {
            if self.view.is_relayed(self.clock.now_ms()) {
                next = None;
                lapses.pending.clear();
                sleep(RELAY_PAUSE).await;
                continue;
            }
            let read = match next {
                Some(from) => {
                    let read = self.topics.read(Topic::Endpoints, from, Duration::ZERO);
                    read.await
                }
                None => self.topics.newest(Topic::Endpoints).await,
            };
            // A topic that was trimmed is read anew at once.
            let failed = matches!(&read, Err(error) if !matches!(error, Error::Trimmed { .. }));
            let (from, pause) = self.take(next, read, &mut contact, &mut lapses);
            next = from;
            if failed {
                self.view.pause(pause).await;
            } else {
                sleep(pause).await;
            }
        }
    }

    /// Takes in what a read brought; returns where to read on, and after which pause.
    fn take(
        &self,
        from: Option<Offset>,
        read: Result<Records>,
        contact: &mut Contact,
        lapses: &mut Lapses,
    ) -> (Option<Offset>, Duration) {
        let now_ms = self.clock.now_ms();
        match read {
            Ok(records) => {
                if contact.answered(now_ms).is_some() {
                    let grace_ms = u64::try_from(self.grace.as_millis()).unwrap_or(u64::MAX);
                    lapses.until_ms = now_ms.saturating_add(grace_ms);
                }
                let pause = if records.reaches_end() {
                    self.interval
                } else {
                    Duration::ZERO
                };
                let next = records.next;
                self.apply(from.is_none(), records.records, lapses);
                self.settle(now_ms, lapses);
                self.fleet
                    .forget_lapsed(now_ms.saturating_sub(FORGET_AFTER_MS));
                (Some(next), pause)
            }
            Err(Error::Trimmed { oldest }) => {
                log::info!("view: topic=endpoints trimmed oldest={oldest} action=read-newest");
                (None, Duration::ZERO)
            }
            Err(error) => {
                contact.failed(now_ms, &error);
                (from, RETRY_PAUSE)
            }
        }
    }

    /// Takes in records; a whole list also ends the entries that it lacks.
    fn apply(&self, whole: bool, records: Vec<Record>, lapses: &mut Lapses) {
        let mut named = Vec::with_capacity(records.len());
        for record in records {
            let Ok(endpoint) = Endpoint::try_new(&record.key) else {
                log::warn!("view: endpoint passed over reason=\"its name is not usable\"");
                continue;
            };
            lapses.pending.retain(|lapsed| *lapsed != endpoint);
            let spec = record
                .value
                .and_then(|value| self.decode(&endpoint, &value));
            match spec {
                Some(spec) => self.update(endpoint.clone(), spec),
                None => lapses.pending.push(endpoint.clone()),
            }
            named.push(endpoint);
        }
        if whole {
            lapses.pending.extend(self.fleet.others(&named));
        }
    }

    /// Takes in an entry.
    fn update(&self, endpoint: Endpoint, spec: Spec) {
        let state = spec.state;
        if self
            .fleet
            .update(self.clock.now_ms(), endpoint.clone(), spec)
        {
            log::info!("view: endpoint={endpoint} state={state}");
        }
    }

    /// Ends the entries that lapsed, unless they may still come back.
    fn settle(&self, now_ms: u64, lapses: &mut Lapses) {
        if now_ms < lapses.until_ms {
            return;
        }
        for endpoint in lapses.pending.drain(..) {
            if self.fleet.lapse(now_ms, &endpoint) {
                log::info!("view: endpoint={endpoint} state=gone");
            }
        }
    }

    /// Reads an entry; one that cannot be read names no endpoint to use.
    fn decode(&self, endpoint: &Endpoint, value: &Bytes) -> Option<Spec> {
        match self.record_codec.endpoint(value) {
            Ok(spec) => Some(spec),
            Err(error) => {
                log::warn!("view: endpoint={endpoint} passed over reason=\"{error}\"");
                None
            }
        }
    }
}
