//! Publishes snapshots before the entries that they stand for are no longer kept.

use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Error as CallError, Result as CallResult};
use quetzalpick_client::traits::{Log, Stream};
use quetzalpick_core::id::Offset;
use quetzalpick_core::state::Snapshot;
use tokio::time::{sleep, timeout};

use crate::peer::Transport;
use crate::replica::clock::millis;
use crate::replica::shared::{Shared, lock};
use crate::replica::stagger::{Duty, Stagger};

/// Looks for snapshots in one retention of the log.
const LOOKS: u32 = 64;

/// Shortest and longest pause between two looks.
const LOOK_MIN: Duration = Duration::from_millis(500);
const LOOK_MAX: Duration = Duration::from_secs(30);

/// Part of the retention after which a snapshot is replaced even if nothing changed: snapshots age as well.
const RETENTION_PARTS: u64 = 4;

/// Entries after which a snapshot is published, so that a start stays quick.
const ENTRIES_MAX: u64 = 4096;

/// Longest time for the answer to an append.
const APPEND_LIMIT: Duration = Duration::from_secs(5);

/// `Seen` is the newest snapshot known to be in the log.
#[derive(Debug, Default)]
struct Seen {
    /// Place of the next snapshot in its stream; `None` before the first look.
    next: Option<Offset>,
    /// Offset through which the newest snapshot goes.
    through: Offset,
    /// When it was first seen, in ms.
    at: u64,
}

impl<L: Log, T: Transport> Shared<L, T> {
    /// Publishes snapshots for as long as it is polled.
    pub(crate) async fn publish(&self) {
        let pause = (self.options.log_retention / LOOKS).clamp(LOOK_MIN, LOOK_MAX);
        let mut seen = Seen::default();
        let mut stagger = Stagger::default();
        loop {
            sleep(pause).await;
            if !self.holds_lease(&self.me()) {
                continue;
            }
            if let Err(error) = self.look(&mut seen).await {
                log::debug!("snapshot: cannot look: {error}");
                continue;
            }
            let now = self.clock.now();
            let duty = Duty::Publish(seen.through);
            let delay = || self.random_below(millis(pause) * 2);
            let due = self.wants_snapshot(&seen) && stagger.is_due(now, &duty, delay);
            if due {
                self.publish_once().await;
                stagger.done(&duty);
            }
        }
    }

    /// Looks for snapshots that were published since the last look.
    async fn look(&self, seen: &mut Seen) -> CallResult<()> {
        let from = match seen.next {
            Some(next) => next,
            None => {
                let bounds = self.snapshot_bounds().await?;
                bounds.oldest.max(Offset(bounds.head.0.saturating_sub(1)))
            }
        };
        let page = match self.read(Stream::Snapshots, from, Duration::ZERO).await {
            Err(CallError::Trimmed { .. }) => {
                seen.next = None;
                return Ok(());
            }
            page => page?,
        };
        for bytes in &page.records {
            if let Ok(snapshot) = Snapshot::from_bytes(bytes) {
                seen.through = seen.through.max(snapshot.through);
                seen.at = self.clock.now();
            }
        }
        seen.next = Some(page.end());
        Ok(())
    }

    /// Tells whether the newest snapshot is about to be of no use.
    fn wants_snapshot(&self, seen: &Seen) -> bool {
        let next = self.next();
        let bounds = *lock(&self.bounds);
        // Half of the entries that are kept must still follow the snapshot once the oldest are gone.
        let half = bounds.oldest.0 + bounds.head.0.saturating_sub(bounds.oldest.0) / 2;
        let trimmed = bounds.oldest > Offset(0);
        let far = next.0.saturating_sub(seen.through.0) >= ENTRIES_MAX;
        let age = self.clock.now() - seen.at;
        let aged = age >= millis(self.options.log_retention) / RETENTION_PARTS;
        next > Offset(0) && (far || aged || (trimmed && seen.through.0 < half))
    }

    /// Publishes a snapshot of the present state.
    async fn publish_once(&self) {
        let snapshot = {
            let view = self.view();
            Snapshot::try_new(&view.state)
        };
        let bytes = snapshot.and_then(|s| Ok((s.through, s.to_bytes()?)));
        let (through, bytes) = match bytes {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!("snapshot: {error}");
                return;
            }
        };
        let append = self.log.append(Stream::Snapshots, vec![Bytes::from(bytes)]);
        match timeout(APPEND_LIMIT, append).await {
            Ok(Ok(at)) => log::info!("snapshot: published {at} through {through}"),
            Ok(Err(error)) => log::warn!("snapshot: not published: {error}"),
            Err(_) => log::warn!("snapshot: no answer to the append"),
        }
    }
}
