//! Background task that closes claims, including those whose append was not confirmed in time.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use quetzalpick_client::traits::Log;
use quetzalpick_core::id::Command;
use quetzalpick_core::record::{ClaimKey, ClaimResult, Finish, Record};
use quetzalpick_core::state::Outcome;
use quetzalpick_node::replica::{Answer, Replica};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Pause before claims that could not be closed are retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which a planned stop checks whether all outcomes are recorded.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of pending claims, more than a gate can have open within the retention of claims.
const PENDING_MAX: usize = 65_536;

/// `PendingClaim` describes a claim that must be closed.
#[derive(Debug, Clone)]
pub(crate) enum PendingClaim {
    /// A claim whose append was not confirmed and whose call was not sent.
    Unconfirmed {
        /// Id of the append.
        command: Command,
        /// Key of the call.
        key: ClaimKey,
    },
    /// The closing record of a claim that was accepted and whose outcome is known.
    Finish(Finish),
}

/// `ClaimCloser` queues claims to close and records their outcomes.
#[derive(Debug, Default)]
pub(crate) struct ClaimCloser {
    inner: Mutex<Inner>,
    added: Notify,
}

/// `Inner` holds the state that the lock protects.
#[derive(Debug, Default)]
struct Inner {
    pending: Vec<PendingClaim>,
    /// Number of claims that are being closed.
    in_progress: usize,
}

impl ClaimCloser {
    /// Locks the state; a poisoned lock is still used, because each change leaves it consistent.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a claim to close.
    pub(crate) fn add(&self, pending: PendingClaim) {
        let mut inner = self.lock();
        // A claim dropped here stays open, and repeated calls are answered that it may have run.
        if inner.pending.len() < PENDING_MAX {
            inner.pending.push(pending);
        }
        drop(inner);
        self.added.notify_one();
    }

    /// Returns whether all known outcomes have been recorded.
    ///
    /// Unconfirmed claims need no record at a planned stop: the fold rejects those that appear in the log later.
    fn all_recorded(&self) -> bool {
        let inner = self.lock();
        let is_finish = |pending: &PendingClaim| matches!(pending, PendingClaim::Finish(_));
        inner.in_progress == 0 && !inner.pending.iter().any(is_finish)
    }

    /// Waits until all known outcomes have been recorded; returns `false` on timeout.
    pub(crate) async fn wait_until_recorded(&self, time_limit: Duration) -> bool {
        let deadline = Instant::now() + time_limit;
        while !self.all_recorded() {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Closes queued claims until cancelled.
    pub(crate) async fn run<L: Log>(&self, replica: Replica<L>) {
        loop {
            let batch = self.take_batch();
            if batch.is_empty() {
                self.added.notified().await;
                continue;
            }
            let closing = batch.into_iter().map(|pending| close(&replica, pending));
            let remaining: Vec<_> = join_all(closing).await.into_iter().flatten().collect();
            let incomplete = !remaining.is_empty();
            self.put_back(remaining);
            if incomplete {
                // A claim added in the meantime ends the pause.
                let _ = timeout(RETRY_PAUSE, self.added.notified()).await;
            }
        }
    }

    /// Takes all queued claims.
    fn take_batch(&self) -> Vec<PendingClaim> {
        let mut inner = self.lock();
        inner.in_progress = inner.pending.len();
        std::mem::take(&mut inner.pending)
    }

    /// Requeues claims that could not be closed, before those added in the meantime.
    fn put_back(&self, mut remaining: Vec<PendingClaim>) {
        let mut inner = self.lock();
        inner.in_progress = 0;
        remaining.append(&mut inner.pending);
        inner.pending = remaining;
    }
}

/// Attempts to close a claim; returns it if it must be retried.
async fn close<L: Log>(replica: &Replica<L>, pending: PendingClaim) -> Option<PendingClaim> {
    let finish = match pending {
        PendingClaim::Finish(finish) => finish,
        PendingClaim::Unconfirmed { command, key } => match replica.command_outcome(command) {
            // The append may still appear in the log.
            None => return Some(PendingClaim::Unconfirmed { command, key }),
            Some((offset, outcome)) => match outcome.first() {
                Outcome::Accepted(_) => Finish {
                    key,
                    claim: offset,
                    result: ClaimResult::NotRun,
                },
                _ => return None,
            },
        },
    };
    match replica.submit(Record::Finish(finish.clone()), None).await {
        Answer::Accepted { .. } => None,
        Answer::Rejected { reason, .. } => {
            // After the departure of the member, the claim counts as one that may have run.
            log::warn!("claim: {} not closed: {reason}", finish.claim);
            None
        }
        // The same result may be recorded twice; the fold applies the first.
        Answer::NotSent { .. } | Answer::Unknown { .. } => Some(PendingClaim::Finish(finish)),
    }
}
