//! Appending of submitted entries in batches, with retries until each is read back.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use quetzalpick_client::errors::{Error as CallError, Result as CallResult};
use quetzalpick_client::traits::{Log, Stream};
use quetzalpick_core::verdict::Verdict;
use tokio::time::{sleep, timeout};

use crate::peer::Transport;
use crate::replica::clock::millis;
use crate::replica::shared::Shared;
use crate::replica::writes::{AppendResult, Batch};

/// Time for which entries are collected into one batch.
const BATCH_DELAY: Duration = Duration::from_millis(2);

/// Maximum number of concurrent appends.
const APPENDS_MAX: usize = 4;

/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before an entry that was certainly not appended is retried.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(100);

/// Pause before an entry whose append got no definite answer is retried.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);

/// Pause of the loop while no entry is pending.
const IDLE_PAUSE: Duration = Duration::from_secs(3600);

impl<L: Log, T: Transport> Shared<L, T> {
    /// Appends submitted entries until cancelled.
    pub(crate) async fn write(&self) {
        let mut appends = FuturesUnordered::new();
        loop {
            // After a pause of this process, entries that were never tried are appended before any is given up.
            while appends.len() < APPENDS_MAX {
                let Some(batch) = self.writes.take_batch(self.clock.now()) else {
                    break;
                };
                appends.push(self.append(batch));
            }
            self.writes.expire(self.clock.now());
            let pause = self.pause(appends.len());
            tokio::select! {
                biased;
                Some(()) = appends.next(), if !appends.is_empty() => {}
                // Entries submitted within the batch delay share one append.
                () = self.writes.added.notified() => sleep(BATCH_DELAY).await,
                () = sleep(pause) => {}
            }
        }
    }

    /// Returns the time until the next entry is due or given up.
    fn pause(&self, appends: usize) -> Duration {
        let now = self.clock.now();
        let event = self.writes.next_event();
        let pause = event.map_or(IDLE_PAUSE, |at| {
            Duration::from_millis(at.saturating_sub(now))
        });
        // With all append slots in use, a due entry waits until one is free.
        match appends {
            APPENDS_MAX.. => pause.max(NOT_RUN_PAUSE),
            _ => pause.max(Duration::from_millis(1)),
        }
    }

    /// Appends a batch once and records the result.
    async fn append(&self, batch: Batch) {
        let append = self.log.append(Stream::Control, batch.records);
        let answer = match timeout(APPEND_TIMEOUT, append).await {
            Ok(answer) => answer.map(drop),
            Err(_) => Err(self.timeout_error("log", APPEND_TIMEOUT)),
        };
        self.writes
            .record_append(&batch.commands, self.append_result(answer));
    }

    /// Classifies the log's answer to an append and schedules the retry.
    fn append_result(&self, answer: CallResult<()>) -> AppendResult {
        let now = self.clock.now();
        let Err(error) = answer else {
            return AppendResult::Appended;
        };
        log::debug!("write: append failed: {error}");
        match (&error, error.verdict()) {
            (CallError::Busy { retry_after, .. }, _) => {
                let spread = self.random_below(millis(NOT_RUN_PAUSE));
                AppendResult::NotRun(now + millis(*retry_after) + spread)
            }
            (_, Verdict::NotRun) => AppendResult::NotRun(now + millis(NOT_RUN_PAUSE)),
            _ => AppendResult::MayHaveRun(now + millis(UNANSWERED_PAUSE)),
        }
    }
}
