//! Closes claims, also those whose record was not confirmed in time.

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

/// Pause before what could not be closed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which a planned stop looks whether everything is recorded.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Claims that one gate remembers to close; more than it can have open between two retentions.
const PENDING_MAX: usize = 65_536;

/// `PendingClaim` is a claim that is to be closed.
#[derive(Debug, Clone)]
pub(crate) enum PendingClaim {
    /// A claim whose append was not confirmed and whose call was not sent.
    Unconfirmed {
        /// The append.
        command: Command,
        /// The call.
        key: ClaimKey,
    },
    /// A claim that stands and whose outcome is known.
    Finish(Finish),
}

/// `ClaimCloser` is the list of claims to close.
#[derive(Debug, Default)]
pub(crate) struct ClaimCloser {
    inner: Mutex<Inner>,
    added: Notify,
}

/// `Inner` is what the lock protects.
#[derive(Debug, Default)]
struct Inner {
    pending: Vec<PendingClaim>,
    in_progress: usize,
}

impl ClaimCloser {
    /// Locks the list; a panic elsewhere leaves it usable, as each change is complete in itself.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a claim to close.
    pub(crate) fn add(&self, pending: PendingClaim) {
        let mut inner = self.lock();
        // A claim that is forgotten stays open, and its repeats are told that it may have run.
        if inner.pending.len() < PENDING_MAX {
            inner.pending.push(pending);
        }
        drop(inner);
        self.added.notify_one();
    }

    /// Tells whether every outcome that is known has been recorded.
    ///
    /// A claim that is not known to stand needs no record at a planned stop: the fold rejects one that shows up later.
    fn all_recorded(&self) -> bool {
        let inner = self.lock();
        let is_finish = |pending: &PendingClaim| matches!(pending, PendingClaim::Finish(_));
        inner.in_progress == 0 && !inner.pending.iter().any(is_finish)
    }

    /// Waits until every known outcome has been recorded; tells whether that was so in time.
    pub(crate) async fn wait_until_recorded(&self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while !self.all_recorded() {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Closes claims for ever.
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
                // A claim added meanwhile is closed without the pause.
                let _ = timeout(RETRY_PAUSE, self.added.notified()).await;
            }
        }
    }

    /// Takes everything that is to be closed.
    fn take_batch(&self) -> Vec<PendingClaim> {
        let mut inner = self.lock();
        inner.in_progress = inner.pending.len();
        std::mem::take(&mut inner.pending)
    }

    /// Puts back what could not be closed.
    fn put_back(&self, mut remaining: Vec<PendingClaim>) {
        let mut inner = self.lock();
        inner.in_progress = 0;
        remaining.append(&mut inner.pending);
        inner.pending = remaining;
    }
}

/// Tries to close a claim and returns what is left to do.
async fn close<L: Log>(replica: &Replica<L>, pending: PendingClaim) -> Option<PendingClaim> {
    let finish = match pending {
        PendingClaim::Finish(finish) => finish,
        PendingClaim::Unconfirmed { command, key } => match replica.command_outcome(command) {
            // The append may still show up.
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
            // After a departure the claim counts as one that may have run.
            log::warn!("claim: {} not closed: {reason}", finish.claim);
            None
        }
        // The same result may be recorded twice; the fold takes the first.
        Answer::NotSent { .. } | Answer::Unknown { .. } => Some(PendingClaim::Finish(finish)),
    }
}
