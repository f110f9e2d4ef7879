//! Following of the control stream: loads an initial state, then applies new entries from the log.

use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalpick_client::errors::{Error as CallError, Result as CallResult};
use quetzalpick_client::traits::{Batch, Log, Stream};
use quetzalpick_core::id::Offset;
use quetzalpick_core::state::{Snapshot, State};
use tokio::time::{sleep, timeout};

use crate::peer::Transport;
use crate::replica::clock::millis;
use crate::replica::shared::{Shared, StreamBounds, lock};

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Timeout of a read beyond the wait that it requests.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

impl<L: Log, T: Transport> Shared<L, T> {
    /// Follows the control stream until cancelled.
    pub(crate) async fn follow(&self) {
        self.load().await;
        let long_wait = self.long_read_wait();
        let mut wait = long_wait;
        loop {
            let from = self.next_offset();
            let sent_at = self.clock.now();
            // A caller without a lease aborts a long read; a read without waiting is not aborted.
            let read = tokio::select! {
                biased;
                read = self.read(Stream::Control, from, wait) => Some(read),
                () = self.read_now.notified(), if !wait.is_zero() => None,
            };
            wait = if read.is_some() {
                long_wait
            } else {
                Duration::ZERO
            };
            match read {
                None => {}
                Some(Ok(batch)) => self.apply_batch(sent_at, from, &batch).await,
                Some(Err(CallError::Trimmed { oldest })) => {
                    log::warn!(
                        "state: the log no longer has entries {from} to {oldest}, loading a snapshot"
                    );
                    self.load().await;
                }
                Some(Err(error)) => {
                    log::debug!("state: read of the control stream failed: {error}");
                    self.read_failed.store(true, Ordering::Relaxed);
                    let _ = timeout(RETRY_PAUSE, self.read_now.notified()).await;
                    wait = Duration::ZERO;
                }
            }
        }
    }

    /// Reads a stream with a timeout.
    pub(crate) async fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Duration,
    ) -> CallResult<Batch> {
        let limit = wait + ANSWER_TIMEOUT.min(self.options.lease / 2);
        match timeout(limit, self.log.read(stream, from, wait)).await {
            Ok(read) => read,
            Err(_) => Err(self.timeout_error("log", limit)),
        }
    }

    /// Applies the entries that a read returned, and renews the lease if it reached the head.
    async fn apply_batch(&self, sent_at: u64, from: Offset, batch: &Batch) {
        if batch.first != from || batch.head < from {
            // A log service that lost entries must not renew leases.
            log::error!(
                "state: read from {from} returned entries from {} with head {}",
                batch.first,
                batch.head
            );
            sleep(RETRY_PAUSE).await;
            return;
        }
        self.apply(batch.first, &batch.records);
        *lock(&self.bounds) = StreamBounds {
            oldest: batch.oldest,
            head: batch.head,
        };
        if batch.reaches_head() {
            lock(&self.lease).record_head_read(sent_at, batch.next());
            self.last_read_at
                .store(self.clock.now().max(1), Ordering::Relaxed);
            self.read_failed.store(false, Ordering::Relaxed);
            self.notify_renewal();
        }
    }

    /// Loads a newer state from the log or, if that fails, from a peer; retries until it succeeds.
    async fn load(&self) {
        loop {
            let state = match self.load_from_log().await {
                Ok(Some(state)) => Some(state),
                Ok(None) => self.load_from_peer().await,
                Err(error) => {
                    log::debug!("state: cannot load a state from the log: {error}");
                    self.load_from_peer().await
                }
            };
            if let Some(state) = state {
                let next = state.next();
                if self.install(state) {
                    log::info!("state: loaded, next offset {next}");
                    return;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the newest state in the log, `None` if the entries after it are no longer kept.
    async fn load_from_log(&self) -> CallResult<Option<State>> {
        let state = self.newest_snapshot().await?.unwrap_or_default();
        // A state is usable only if the entries after it are still kept.
        match self
            .read(Stream::Control, state.next(), Duration::ZERO)
            .await
        {
            Ok(_) => Ok(Some(state)),
            Err(CallError::Trimmed { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns the state of the newest snapshot that can be decoded.
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
                Err(error) => log::error!("snapshot: the one at {at} cannot be decoded: {error}"),
            }
        }
        Ok(None)
    }

    /// Returns the offsets of the oldest snapshot kept and of the next one in the snapshot stream.
    pub(crate) async fn snapshot_bounds(&self) -> CallResult<StreamBounds> {
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
        Ok(StreamBounds {
            oldest: page.oldest,
            head: page.head,
        })
    }

    /// Creates the error of a call that timed out.
    pub(crate) fn timeout_error(&self, target: &str, limit: Duration) -> CallError {
        let verdict = quetzalpick_core::verdict::Verdict::MayHaveRun;
        let reason = format!("no answer within {} ms", millis(limit));
        quetzalpick_client::errors::unanswered(target, verdict, reason)
    }
}
