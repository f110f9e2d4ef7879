//! Appends submitted entries, several at once, until they are read back.

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
use crate::replica::writes::{Batch, Fate};

/// Time for which entries are gathered before an append.
const GATHER: Duration = Duration::from_millis(2);

/// Most appends under way at a time.
const APPENDS_MAX: usize = 4;

/// Longest time for the answer to an append.
const APPEND_LIMIT: Duration = Duration::from_secs(1);

/// Pause before an entry that was not appended is tried again.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(100);

/// Pause before an entry whose append was not answered is appended again.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between two looks at the entries.
const IDLE: Duration = Duration::from_secs(3600);

impl<L: Log, T: Transport> Shared<L, T> {
    /// Appends submitted entries for as long as it is polled.
    pub(crate) async fn write(&self) {
        let mut appends = FuturesUnordered::new();
        loop {
            self.writes.expire(self.clock.now());
            while appends.len() < APPENDS_MAX {
                let Some(batch) = self.writes.take(self.clock.now()) else {
                    break;
                };
                appends.push(self.append(batch));
            }
            let pause = self.pause(appends.len());
            tokio::select! {
                biased;
                Some(()) = appends.next(), if !appends.is_empty() => {}
                // What is submitted in the next moments goes into the same append.
                () = self.writes.added.notified() => sleep(GATHER).await,
                () = sleep(pause) => {}
            }
        }
    }

    /// Returns how long nothing needs to be done.
    fn pause(&self, appends: usize) -> Duration {
        let now = self.clock.now();
        let event = self.writes.next_event();
        let pause = event.map_or(IDLE, |at| Duration::from_millis(at.saturating_sub(now)));
        // With all appends under way, an entry that is due waits for one of them to end.
        match appends {
            APPENDS_MAX.. => pause.max(NOT_RUN_PAUSE),
            _ => pause.max(Duration::from_millis(1)),
        }
    }

    /// Appends a batch once and notes what the answer tells.
    async fn append(&self, batch: Batch) {
        let append = self.log.append(Stream::Control, batch.records);
        let answer = match timeout(APPEND_LIMIT, append).await {
            Ok(answer) => answer.map(drop),
            Err(_) => Err(self.late("log", APPEND_LIMIT)),
        };
        self.writes.note(&batch.commands, self.fate(answer));
    }

    /// Returns what an answer tells of the records.
    fn fate(&self, answer: CallResult<()>) -> Fate {
        let now = self.clock.now();
        let Err(error) = answer else {
            return Fate::Appended;
        };
        log::debug!("write: append failed: {error}");
        match (&error, error.verdict()) {
            (CallError::Busy { retry_after, .. }, _) => {
                let spread = self.random_below(millis(NOT_RUN_PAUSE));
                Fate::NotRun(now + millis(*retry_after) + spread)
            }
            (_, Verdict::NotRun) => Fate::NotRun(now + millis(NOT_RUN_PAUSE)),
            _ => Fate::MayHaveRun(now + millis(UNANSWERED_PAUSE)),
        }
    }
}
