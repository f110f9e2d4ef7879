//! Drives the election through the log service.

use std::sync::Arc;
use std::time::Duration;

use quetzalpick_client::errors::Error;
use quetzalpick_client::topic::{Record, Records, Topic, Topics};
use quetzalpick_core::election::{Appended, Claim, Step, Tail};
use quetzalpick_core::id::{Era, Offset, Position};
use quetzalpick_core::verdict::Verdict;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::exchange::{decode, encode};
use crate::lead::Leadership;
use crate::lead::statuses::Statuses;
use crate::link::Link;
use crate::view::View;

/// Time after which a leader that reaches no endpoints hands over to another VM, in ms.
const HANDOVER_DELAY_MS: u64 = 1_000;

/// `ElectionDriver` carries out the election's steps: it reads and appends claims in the leadership topic.
#[derive(Debug)]
pub(crate) struct ElectionDriver<T, N> {
    pub(crate) topics: T,
    pub(crate) lead: Arc<Leadership<N>>,
    pub(crate) link: Arc<Link>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
}

impl<T: Topics, N> ElectionDriver<T, N> {
    /// Runs until cancelled.
    pub(crate) async fn run(self) {
        loop {
            self.hand_over_if_disconnected().await;
            let former = self.lead.leader_address();
            let step = self
                .lead
                .with_election(|election, now_ms| election.step(now_ms));
            match step {
                Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
                Step::Read(from) => self.read(from).await,
                Step::Append(claim, at) => self.append(&claim, at).await,
            }
            self.lead.update_leader_state();
            if self.lead.leader_address() != former {
                self.lead.leader_changed.notify_one();
            }
        }
    }

    /// Reads the topic from a position on, or from its oldest record.
    async fn read(&self, from: Option<Position>) {
        let sent_ms = self.clock.now_ms();
        let read_from = |from| self.topics.read(Topic::Leadership, from, Duration::ZERO);
        let mut read = read_from(from).await;
        if matches!(read, Err(Error::Trimmed { .. })) {
            read = read_from(None).await;
        }
        match &read {
            Ok(records) => {
                let tail = tail(records);
                self.lead
                    .with_election(|election, now_ms| election.record_read(sent_ms, now_ms, tail));
            }
            Err(Error::Restored { era }) => self.record_restore(*era),
            Err(error) => {
                log::debug!("lead: log not read reason=\"{error}\"");
                self.lead
                    .with_election(|election, now_ms| election.record_read_failure(now_ms));
                // The election's own pause suffices unless the log service is unavailable.
                self.view.pause(Duration::ZERO).await;
            }
        }
    }

    /// Appends a claim at the assumed end of the log.
    async fn append(&self, claim: &Claim, at: Position) {
        let Some(value) = encode(claim) else {
            return;
        };
        let record = Record {
            key: String::new(),
            value: Some(value),
        };
        let sent_ms = self.clock.now_ms();
        let result = self
            .topics
            .append(Topic::Leadership, &record, Some(at))
            .await;
        let appended = match &result {
            Ok(position) => Appended::At(*position),
            Err(Error::Conflict { .. }) => Appended::Conflict,
            Err(error) if error.verdict() == Verdict::NotRun => Appended::Failed,
            Err(_) => Appended::Unknown,
        };
        if claim.term.is_none() || result.is_err() {
            log::info!(
                "lead: claim at={} renewal={} result={appended:?}",
                at.offset,
                claim.term.is_some()
            );
        }
        self.lead.with_election(|election, now_ms| {
            election.record_append(claim, sent_ms, now_ms, appended);
        });
        if let Err(Error::Restored { era }) = result {
            self.record_restore(era);
        }
    }

    /// Records that the topic was restored, so that claims may be lost.
    fn record_restore(&self, era: Era) {
        self.view.observe_era(self.clock.now_ms(), era);
        self.lead
            .with_election(|election, now_ms| election.record_restore(now_ms, era));
    }

    /// Resigns if this VM cannot send orders to endpoints and another one could.
    async fn hand_over_if_disconnected(&self) {
        let lost_for_ms = self.link.lost_for_ms();
        self.lead
            .with_election(|election, _| election.set_suited(lost_for_ms.is_none()));
        let Some(lost_for_ms) = lost_for_ms.filter(|ms| *ms >= HANDOVER_DELAY_MS) else {
            return;
        };
        let is_another_connected =
            |statuses: &mut Statuses, now_ms| statuses.is_another_connected(now_ms, self.lead.vm());
        if self.lead.is_leading() && self.lead.with_statuses(is_another_connected) {
            log::warn!("lead: resigns reason=\"no endpoint is reached\" lost_for_ms={lost_for_ms}");
            self.resign().await;
        }
    }

    /// Resigns leadership, for instance before a planned stop, and announces that to the other VMs.
    pub(crate) async fn resign(&self) {
        let resignation = self.lead.with_election(|election, now_ms| {
            let resignation = election.resignation(now_ms);
            election.resign(now_ms);
            resignation
        });
        let Some((claim, at)) = resignation else {
            return;
        };
        let record = Record {
            key: String::new(),
            value: encode(&claim),
        };
        let result = self
            .topics
            .append(Topic::Leadership, &record, Some(at))
            .await;
        log::info!("lead: resigned told={}", result.is_ok());
    }
}

/// Returns the end of the log and its newest claim; records that cannot be decoded are skipped.
fn tail(records: &Records) -> Tail {
    let first = records.next.offset.0 - records.records.len() as u64;
    let claims = records.records.iter().enumerate().rev();
    let mut claims = claims.filter_map(|(at, record)| {
        let claim = decode(record.value.as_deref()?)?;
        Some((Offset(first + at as u64), claim))
    });
    Tail {
        end: records.end(),
        newest: claims.next(),
    }
}
