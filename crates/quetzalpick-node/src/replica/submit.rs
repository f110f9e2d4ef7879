//! Submits entries and awaits what became of them.

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

/// Time beyond its deadline for a write to be given up, as when the replica was stopped.
const GRACE: Duration = Duration::from_secs(1);

impl<L: Log, T: Transport> Shared<L, T> {
    /// Appends a record in this member's name and tells what became of it.
    pub(crate) async fn submit(&self, record: Record, expect: Option<Revision>) -> Answer {
        let author = Author::Member(self.me());
        let command = self.draw_command();
        self.submit_as(author, command, record, expect).await
    }

    /// Appends a record in another author's name and tells what became of it.
    pub(crate) async fn submit_as(
        &self,
        author: Author,
        command: Command,
        record: Record,
        expect: Option<Revision>,
    ) -> Answer {
        // A command that was applied is not appended again.
        let known = self.view().command_outcome(command);
        if let Some((offset, outcome)) = known {
            return answer(command, offset, &outcome);
        }
        let entry = Entry {
            command,
            author,
            expect,
            record,
        };
        let Ok(bytes) = entry.to_bytes() else {
            log::error!("write: cannot encode {command}");
            return not_sent();
        };
        // During an outage the caller is told at once, as nothing could be read back.
        if self.stop.is_cancelled() || self.is_log_out() {
            return not_sent();
        }
        let now = self.clock.now();
        let deadlines = Deadlines {
            not_sent_at: now + millis(self.options.not_sent_after),
            unknown_at: now + millis(self.options.unknown_after),
        };
        let awaited = self.writes.add(now, command, Bytes::from(bytes), deadlines);
        match timeout(self.options.unknown_after + GRACE, awaited).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::Unknown { command },
        }
    }
}

/// Returns the answer for an entry that was not appended.
fn not_sent() -> Answer {
    Answer::NotSent {
        retry_after: RETRY_AFTER,
    }
}
