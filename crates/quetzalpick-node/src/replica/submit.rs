//! Submission of entries and waiting for their outcome.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::traits::{Log, Stream};
use quetzalpick_core::id::{Command, Revision};
use quetzalpick_core::record::{Author, Entry, Record};
use tokio::time::timeout;

use crate::peer::Transport;
use crate::replica::Answer;
use crate::replica::clock::millis;
use crate::replica::shared::Shared;
use crate::replica::writes::{Deadlines, RETRY_AFTER, answer};

/// Extra wait beyond a write's deadline before it is answered `Unknown`, for example when the replica was stopped.
const GRACE: Duration = Duration::from_secs(1);

/// Time limit for reading the log up to where it ended.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit of a write's wait for a read of the log.
const QUICK_READ_TIMEOUT: Duration = Duration::from_millis(250);

impl<L: Log, T: Transport> Shared<L, T> {
    /// Appends a record with this member as author and returns the result.
    pub(crate) async fn submit(&self, record: Record, expect: Option<Revision>) -> Answer {
        let author = Author::Member(self.own_member());
        let command = self.draw_command();
        self.submit_as(author, command, record, expect).await
    }

    /// Appends a record on behalf of an author and returns the result.
    pub(crate) async fn submit_as(
        &self,
        author: Author,
        command: Command,
        record: Record,
        expect: Option<Revision>,
    ) -> Answer {
        // A command that was already applied is not appended again.
        let previous = self.folded().command_outcome(command);
        if let Some((offset, outcome)) = previous {
            return answer(command, offset, &outcome);
        }
        let entry = Entry {
            command,
            author,
            expect,
            record,
        };
        let Ok(bytes) = entry.to_bytes() else {
            log::error!("write: command {command} cannot be encoded");
            return not_sent();
        };
        // During a log outage the write fails at once, because its outcome could not be read back.
        if self.stop.is_cancelled() || !self.check_log().await {
            return not_sent();
        }
        let now = self.clock.now();
        let deadlines = Deadlines {
            not_sent_at: now + millis(self.options.not_sent_after),
            unknown_at: now + millis(self.options.unknown_after),
        };
        let receiver = self.writes.add(now, command, Bytes::from(bytes), deadlines);
        match timeout(self.options.unknown_after + GRACE, receiver).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::Unknown { command },
        }
    }
}

impl<L: Log, T: Transport> Shared<L, T> {
    /// Waits until all entries are applied that the log holds when this is called; returns whether they are.
    pub(crate) async fn reach_head(&self) -> bool {
        let reached = timeout(HEAD_TIMEOUT, async {
            let next = self.next_offset();
            let read = self.log.read(Stream::Control, next, Duration::ZERO);
            let head = read.await.inspect_err(|error| {
                log::debug!("state: the head of the control stream is not known: {error}");
            });
            let Ok(head) = head.map(|batch| batch.head) else {
                return false;
            };
            let mut changed = self.changed.subscribe();
            if *changed.borrow() < head {
                self.read_now.notify_one();
            }
            changed.wait_for(|next| *next >= head).await.is_ok()
        });
        reached.await.unwrap_or(false)
    }

    /// Returns whether the log is available; if no read has ended for too long, it first waits briefly for one.
    async fn check_log(&self) -> bool {
        // A process that stood still has neither read the log nor seen a read fail.
        if self.is_log_unavailable() && !self.read_failed.load(Ordering::Relaxed) {
            let _ = timeout(QUICK_READ_TIMEOUT, self.wait_for_read()).await;
        }
        !self.is_log_unavailable()
    }

    /// Requests an immediate read and waits until one has reached the head.
    async fn wait_for_read(&self) {
        let mut renewals = self.renewals.subscribe();
        self.read_now.notify_one();
        while self.is_log_unavailable() {
            // The sender lives as long as `self`.
            let _ = renewals.changed().await;
        }
    }
}

/// Creates the answer for an entry that was not appended.
fn not_sent() -> Answer {
    Answer::NotSent {
        retry_after: RETRY_AFTER,
    }
}
