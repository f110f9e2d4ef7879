//! Submission of entries and waiting for their outcome.

use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::traits::Log;
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
        if self.stop.is_cancelled() || self.is_log_unavailable() {
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

/// Creates the answer for an entry that was not appended.
fn not_sent() -> Answer {
    Answer::NotSent {
        retry_after: RETRY_AFTER,
    }
}
