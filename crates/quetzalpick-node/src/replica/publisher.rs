//! Publishing of snapshots before the log drops the entries that they replace.

use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Error as CallError, Result as CallResult};
use quetzalpick_client::traits::{Log, Stream};
use quetzalpick_core::id::Offset;
use quetzalpick_core::state::Snapshot;
use tokio::time::{sleep, timeout};

use crate::peer::Transport;
use crate::replica::clock::millis;
use crate::replica::jitter::{Action, Jitter};
use crate::replica::shared::{Shared, lock};

/// Number of checks for new snapshots within the log's retention time.
const CHECKS_PER_RETENTION: u32 = 64;

/// Shortest and longest pause between two checks.
const CHECK_PAUSE_MIN: Duration = Duration::from_millis(500);
const CHECK_PAUSE_MAX: Duration = Duration::from_secs(30);

/// The retention time divided by this is the age at which a snapshot is replaced even without changes, because the log
/// drops old snapshots too.
const MAX_AGE_DIVISOR: u64 = 4;

/// Entries after which a new snapshot is published, which keeps startup fast.
const ENTRIES_MAX: u64 = 4096;

/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// `NewestSnapshot` tracks the newest snapshot found in the log.
#[derive(Debug, Default)]
struct NewestSnapshot {
    /// Offset at which the next check of the snapshot stream starts; `None` before the first check.
    next: Option<Offset>,
    /// Control stream offset at which the newest snapshot ends.
    control_next: Offset,
    /// When it was first read, in ms.
    read_at: u64,
}

impl<L: Log, T: Transport> Shared<L, T> {
    /// Publishes snapshots until cancelled.
    pub(crate) async fn publish(&self) {
        let pause = (self.options.log_retention / CHECKS_PER_RETENTION)
            .clamp(CHECK_PAUSE_MIN, CHECK_PAUSE_MAX);
        let mut newest = NewestSnapshot::default();
        let mut jitter = Jitter::default();
        loop {
            sleep(pause).await;
            if !self.holds_lease(&self.own_member()) {
                continue;
            }
            if let Err(error) = self.check_for_snapshots(&mut newest).await {
                log::debug!("snapshot: cannot read the snapshot stream: {error}");
                continue;
            }
            let now = self.clock.now();
            let action = Action::Publish(newest.control_next);
            let delay = || self.random_below(millis(pause) * 2);
            let due = self.needs_snapshot(&newest) && jitter.is_due(now, &action, delay);
            if due {
                self.publish_once().await;
                jitter.reset(&action);
            }
        }
    }

    /// Reads the snapshots that were published since the last check.
    async fn check_for_snapshots(&self, newest: &mut NewestSnapshot) -> CallResult<()> {
        let from = match newest.next {
            Some(next) => next,
            None => {
                let bounds = self.snapshot_bounds().await?;
                bounds.oldest.max(Offset(bounds.head.0.saturating_sub(1)))
            }
        };
        let page = match self.read(Stream::Snapshots, from, Duration::ZERO).await {
            Err(CallError::Trimmed { .. }) => {
                newest.next = None;
                return Ok(());
            }
            page => page?,
        };
        for bytes in &page.records {
            if let Ok(snapshot) = Snapshot::from_bytes(bytes) {
                newest.control_next = newest.control_next.max(snapshot.next);
                newest.read_at = self.clock.now();
            }
        }
        newest.next = Some(page.next());
        Ok(())
    }

    /// Returns whether a new snapshot is needed because the newest one is too old or too far behind.
    fn needs_snapshot(&self, newest: &NewestSnapshot) -> bool {
        let next = self.next_offset();
        let bounds = *lock(&self.bounds);
        // Once the log has dropped entries, a snapshot must lie in the newer half of those it still keeps.
        let middle = bounds.oldest.0 + bounds.head.0.saturating_sub(bounds.oldest.0) / 2;
        let trimmed = bounds.oldest > Offset(0);
        let many_entries = next.0.saturating_sub(newest.control_next.0) >= ENTRIES_MAX;
        let age = self.clock.now() - newest.read_at;
        let old = age >= millis(self.options.log_retention) / MAX_AGE_DIVISOR;
        next > Offset(0) && (many_entries || old || (trimmed && newest.control_next.0 < middle))
    }

    /// Publishes a snapshot of the current state.
    async fn publish_once(&self) {
        let snapshot = {
            let folded = self.folded();
            Snapshot::try_new(&folded.state)
        };
        let bytes = snapshot.and_then(|s| Ok((s.next, s.to_bytes()?)));
        let (next, bytes) = match bytes {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!("snapshot: cannot be made: {error}");
                return;
            }
        };
        let append = self.log.append(Stream::Snapshots, vec![Bytes::from(bytes)]);
        match timeout(APPEND_TIMEOUT, append).await {
            Ok(Ok(at)) => log::info!("snapshot: published at {at}, next control offset {next}"),
            Ok(Err(error)) => log::warn!("snapshot: append failed: {error}"),
            Err(_) => log::warn!("snapshot: append timed out"),
        }
    }
}
