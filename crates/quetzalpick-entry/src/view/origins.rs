//! Keeps the origins of streams in their topic: written by the leader while a service runs several builds, read by VMs that are
//! asked for a stream which no VM knows.

use std::sync::Arc;
use std::time::Duration;

use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::topic::{Record, Topic, Topics};
use quetzalpick_core::id::{Position, Service};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::lead::Leadership;
use crate::origin::{Origins, Stored, StoredRow};
use crate::view::View;

/// Pause between two rounds of the leader, in which streams are collected for one batch.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Shortest pause between two reads, so that a rush of callers with unknown streams causes few.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Most streams of one batch, which has to fit into one record of the log service.
const BATCH_MAX: usize = 8_192;

/// `OriginFollower` reads the stored origins on demand, and stores those that this VM knows while it leads.
#[derive(Debug)]
pub(crate) struct OriginFollower<T, N> {
    pub(crate) topics: T,
    pub(crate) origins: Arc<Origins>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) lead: Arc<Leadership<N>>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
}

/// `Progress` tells how far the topic is known.
#[derive(Debug, Default)]
struct Progress {
    /// Position of the next read and of the next append; `None` if the newest records have to be read.
    next: Option<Position>,
    /// Fencing number of the term for which the topic was read.
    fence: Option<u64>,
    /// Streams whose batch may not have been appended.
    pending: Vec<StoredRow>,
}

impl<T: Topics, N> OriginFollower<T, N> {
    /// Follows the topic until cancelled.
    pub(crate) async fn run(self) {
        let mut progress = Progress::default();
        let mut restores = self.view.restores();
        loop {
            let leads = self.lead.is_leading();
            let reads = tokio::select! {
                () = self.origins.read_requested.notified() => true,
                () = self.lead.origin_term_changed.notified() => false,
                // What was stored may be lost.
                Ok(()) = restores.changed(), if leads => true,
                () = sleep(ROUND_PAUSE), if leads => false,
            };
            let result = self.round(&mut progress, reads).await;
            match result {
                Ok(()) if reads => sleep(READ_PAUSE).await,
                Ok(()) => {}
                Err(error) => {
                    log::info!("origin: not stored or read reason=\"{error}\"");
                    progress.fence = None;
                    self.view.pause(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Reads what is missing, and writes what this VM has to store.
    ///
    /// # Errors
    ///
    /// Any error of a call; what was read remains applied.
    async fn round(&self, progress: &mut Progress, reads: bool) -> Result<()> {
        let fence = self.lead.with_leader_state(|state, _| state.fence);
        if reads || (fence.is_some() && fence != progress.fence) {
            self.read(progress).await?;
            progress.fence = fence;
        }
        if fence.is_none() {
            return Ok(());
        }
        self.mark_services(progress).await?;
        self.store_streams(progress).await
    }

    /// Reads the topic to its end.
    async fn read(&self, progress: &mut Progress) -> Result<()> {
        loop {
            let sent_ms = self.clock.now_ms();
            let Some(from) = progress.next else {
                let newest = self.topics.newest(Topic::Origins).await?;
                progress.next = Some(newest.next);
                let as_of_ms = self.as_of_ms(sent_ms);
                self.origins.replace_stored(as_of_ms, &newest.records);
                return Ok(());
            };
            let read = self
                .topics
                .read(Topic::Origins, Some(from), Duration::ZERO)
                .await;
            let read = match read {
                Err(Error::Trimmed { .. }) => {
                    progress.next = None;
                    continue;
                }
                Err(Error::Restored { era }) => {
                    log::info!("origin: stored streams may be lost era={era}");
                    progress.next = None;
                    self.origins.store_again(self.clock.now_ms());
                    continue;
                }
                read => read?,
            };
            progress.next = Some(read.next);
            let reaches_end = read.reaches_end();
            let as_of_ms = self.as_of_ms(sent_ms).filter(|_| reaches_end);
            self.origins.apply_stored(as_of_ms, &read.records);
            if reaches_end {
                return Ok(());
            }
        }
    }

    /// Returns the time as of which a read to the end shows all marks, if it does: a restore may have lost some.
    fn as_of_ms(&self, sent_ms: u64) -> Option<u64> {
        (!self.view.awaits_rewrites(sent_ms)).then_some(sent_ms)
    }

    /// Marks the services that run several builds, and removes the marks of those that have run one for long enough.
    async fn mark_services(&self, progress: &mut Progress) -> Result<()> {
        let Some(config) = self.view.config() else {
            return Ok(());
        };
        for service in config.services().keys() {
            let Some(runs_several_builds) = self.mark_to_write(service) else {
                continue;
            };
            log::info!("origin: service={service} runs_several_builds={runs_several_builds}");
            let record = Stored::mark(service, runs_several_builds);
            self.append(progress, record).await?;
        }
        Ok(())
    }

    /// Returns whether a service is to be marked or its mark to be removed; `None` if neither.
    fn mark_to_write(&self, service: &Service) -> Option<bool> {
        let now_ms = self.clock.now_ms();
        let is_marked = self
            .origins
            .with_stored(|stored| stored.runs_several_builds(service));
        if is_marked {
            let sole_build = self.fleet.sole_build(now_ms, service);
            return sole_build.map(|_| false);
        }
        let builds = self.fleet.known_builds(now_ms, service);
        (builds.len() > 1).then_some(true)
    }

    /// Stores the streams of the marked services.
    async fn store_streams(&self, progress: &mut Progress) -> Result<()> {
        loop {
            if progress.pending.is_empty() {
                let now_ms = self.clock.now_ms();
                progress.pending = self.origins.take_unstored(now_ms, BATCH_MAX);
            }
            if progress.pending.is_empty() {
                return Ok(());
            }
            let batch = |stored: &mut Stored| stored.batch(&progress.pending);
            if let Some(record) = self.origins.with_stored(batch) {
                self.append(progress, record).await?;
            }
            progress.pending.clear();
        }
    }

    /// Appends a record at the end of what is known, and applies it.
    async fn append(&self, progress: &mut Progress, record: Record) -> Result<()> {
        let appended = self
            .topics
            .append(Topic::Origins, &record, progress.next)
            .await?;
        progress.next = Some(appended.after(1));
        self.origins.with_stored(|stored| stored.apply(&record));
        Ok(())
    }
}
