//! Follows the control stream: finds a state to begin with, then applies what the log or the peers have.

use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalpick_client::errors::{Error as CallError, Result as CallResult};
use quetzalpick_client::traits::{Batch, Log, Stream};
use quetzalpick_core::id::Offset;
use quetzalpick_core::state::{Snapshot, State};
use tokio::time::{sleep, timeout};

use crate::peer::Transport;
use crate::replica::clock::millis;
use crate::replica::shared::{Bounds, Shared, lock};

/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest time for an answer beyond the wait that was asked for.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

impl<L: Log, T: Transport> Shared<L, T> {
    /// Follows the control stream for as long as it is polled.
    pub(crate) async fn follow(&self) {
        self.load().await;
        let long = self.long_read();
        let mut wait = long;
        loop {
            let from = self.next();
            let sent_at = self.clock.now();
            // A caller that finds no lease cuts a long read short; a read without waiting is not cut.
            let read = tokio::select! {
                biased;
                read = self.read(Stream::Control, from, wait) => Some(read),
                () = self.read_now.notified(), if !wait.is_zero() => None,
            };
            wait = if read.is_some() { long } else { Duration::ZERO };
            match read {
                None => {}
                Some(Ok(batch)) => self.take_batch(sent_at, from, &batch).await,
                Some(Err(CallError::Trimmed { oldest })) => {
                    log::warn!("state: entries {from} to {oldest} are gone, loading a snapshot");
                    self.load().await;
                }
                Some(Err(error)) => {
                    log::debug!("state: read failed: {error}");
                    self.read_failed.store(true, Ordering::Relaxed);
                    let _ = timeout(RETRY_PAUSE, self.read_now.notified()).await;
                    wait = Duration::ZERO;
                }
            }
        }
    }

    /// Reads a stream with a limit of time.
    pub(crate) async fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Duration,
    ) -> CallResult<Batch> {
        let limit = wait + ANSWER_LIMIT.min(self.options.lease / 2);
        match timeout(limit, self.log.read(stream, from, wait)).await {
            Ok(read) => read,
            Err(_) => Err(self.late("log", limit)),
        }
    }

    /// Applies what a read returned and notes what it means for the lease.
    async fn take_batch(&self, sent_at: u64, from: Offset, batch: &Batch) {
        if batch.first != from || batch.head < from {
            // A service that lost entries must not renew leases.
            log::error!(
                "state: the log answered {} to {} for {from}",
                batch.first,
                batch.head
            );
            sleep(RETRY_PAUSE).await;
            return;
        }
        self.apply(batch.first, &batch.records);
        *lock(&self.bounds) = Bounds {
            oldest: batch.oldest,
            head: batch.head,
        };
        if batch.reaches_head() {
            lock(&self.lease).read_head(sent_at, batch.end());
            self.read_at
                .store(self.clock.now().max(1), Ordering::Relaxed);
            self.read_failed.store(false, Ordering::Relaxed);
            self.note_renewal();
        }
    }

    /// Loads a state newer than the present one, from the log or, where that is out, from a peer.
    async fn load(&self) {
        loop {
            let state = match self.load_from_log().await {
                Ok(Some(state)) => Some(state),
                Ok(None) => self.load_from_peer().await,
                Err(error) => {
                    log::debug!("state: the log has no state for now: {error}");
                    self.load_from_peer().await
                }
            };
            if let Some(state) = state {
                let next = state.next();
                if self.install(state) {
                    log::info!("state: loaded through {next}");
                    return;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the newest state in the log that can be followed on, `None` if there is none.
    async fn load_from_log(&self) -> CallResult<Option<State>> {
        let start = self.newest_snapshot().await?.unwrap_or_default();
        // A state is of use only if the entries after it are still kept.
        match self
            .read(Stream::Control, start.next(), Duration::ZERO)
            .await
        {
            Ok(_) => Ok(Some(start)),
            Err(CallError::Trimmed { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns the newest snapshot that opens.
    async fn newest_snapshot(&self) -> CallResult<Option<State>> {
        let bounds = self.snapshot_bounds().await?;
        let mut at = bounds.head;
        while at > bounds.oldest {
            at = Offset(at.0 - 1);
            let page = match self.read(Stream::Snapshots, at, Duration::ZERO).await {
                Ok(page) => page,
                Err(CallError::Trimmed { .. }) => return Ok(None),
                Err(error) => return Err(error),
            };
            let Some(bytes) = page.records.first() else {
                continue;
            };
            match Snapshot::from_bytes(bytes).and_then(|snapshot| snapshot.open()) {
                Ok(state) => return Ok(Some(state)),
                Err(error) => log::error!("snapshot: {at} is not usable: {error}"),
            }
        }
        Ok(None)
    }

    /// Returns the oldest snapshot kept and the place of the next one.
    pub(crate) async fn snapshot_bounds(&self) -> CallResult<Bounds> {
        let first = self
            .read(Stream::Snapshots, Offset(0), Duration::ZERO)
            .await;
        let page = match first {
            Err(CallError::Trimmed { oldest }) => {
                self.read(Stream::Snapshots, Offset(oldest), Duration::ZERO)
                    .await?
            }
            page => page?,
        };
        Ok(Bounds {
            oldest: page.oldest,
            head: page.head,
        })
    }

    /// Makes the error of a call that was not answered in time.
    pub(crate) fn late(&self, target: &str, limit: Duration) -> CallError {
        let verdict = quetzalpick_core::verdict::Verdict::MayHaveRun;
        let reason = format!("no answer within {} ms", millis(limit));
        quetzalpick_client::errors::unanswered(target, verdict, reason)
    }
}
