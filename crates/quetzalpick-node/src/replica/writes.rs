//! Submitted entries whose outcome is pending.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::{Command, Offset};
use quetzalpick_core::state::Outcome;
use quetzalpick_core::table::Table;
use tokio::sync::{Notify, oneshot};

use crate::replica::Answer;
use crate::replica::folded::AppliedEntry;
use crate::replica::shared::lock;

/// Time after which a caller may retry when nothing could be appended.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum size of one append, in bytes.
const BATCH_MAX_BYTES: usize = 512 * 1024;

/// Maximum number of records in one append.
const BATCH_MAX_RECORDS: usize = 256;

/// `PendingWrite` tracks the appends and deadlines of one entry and the callers that wait for its outcome.
#[derive(Debug)]
struct PendingWrite {
    /// Position in the order of submission.
    sequence: u64,
    bytes: Bytes,
    callers: Vec<oneshot::Sender<Answer>>,
    /// Whether an append is in progress.
    in_flight: bool,
    /// Whether the entry is in the log or may still reach it.
    may_have_run: bool,
    /// When to append the entry, in ms; `None` once an append was confirmed.
    due: Option<u64>,
    /// When to give up if nothing was appended, in ms.
    not_sent_at: u64,
    /// When to give up in any case, in ms.
    unknown_at: u64,
}

/// `Deadlines` holds the times at which a write is given up, in ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadlines {
    /// Deadline if nothing was appended.
    pub(crate) not_sent_at: u64,
    /// Deadline in any case.
    pub(crate) unknown_at: u64,
}

/// `Batch` holds writes that are appended together.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Commands of the writes.
    pub(crate) commands: Vec<Command>,
    /// Encoded entries, in the same order.
    pub(crate) records: Vec<Bytes>,
}

/// `AppendResult` classifies the log's answer to an append.
#[derive(Debug, Clone, Copy)]
pub(crate) enum AppendResult {
    /// The records are in the log.
    Appended,
    /// The records may reach the log; the append is retried at this time, in ms.
    MayHaveRun(u64),
    /// The records are not in the log; the append is retried at this time, in ms.
    NotRun(u64),
}

/// `PendingWrites` stores the entries whose outcome is pending, by command.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    table: Mutex<Table<Command, PendingWrite>>,
    /// Notifies the writer of a new entry.
    pub(crate) added: Notify,
}

impl PendingWrites {
    /// Adds an entry and returns the receiver of its answer; a command that is already pending is not added again.
    pub(crate) fn add(
        &self,
        now: u64,
        command: Command,
        bytes: Bytes,
        deadlines: Deadlines,
    ) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let mut table = lock(&self.table);
        let sequence = table.values().map(|write| write.sequence + 1).max();
        let write = table.get_or_insert_with(command, || PendingWrite {
            sequence: sequence.unwrap_or(0),
            bytes,
            callers: Vec::new(),
            in_flight: false,
            may_have_run: false,
            due: Some(now),
            not_sent_at: deadlines.not_sent_at,
            unknown_at: deadlines.unknown_at,
        });
        write.callers.push(sender);
        drop(table);
        self.added.notify_one();
        receiver
    }

    /// Returns the due entries that fit into one append, oldest first, and marks them as in flight.
    pub(crate) fn take_batch(&self, now: u64) -> Option<Batch> {
        let mut table = lock(&self.table);
        let is_due = |write: &PendingWrite| {
            !write.in_flight && write.due.is_some_and(|due| due <= now) && now < write.unknown_at
        };
        let mut due: Vec<(&Command, &mut PendingWrite)> = table
            .iter_mut()
            .filter(|(_, write)| is_due(write))
            .collect();
        due.sort_by_key(|(_, write)| write.sequence);
        let mut batch = Batch::default();
        let mut size = 0;
        for (command, write) in due.into_iter().take(BATCH_MAX_RECORDS) {
            size += write.bytes.len();
            if size > BATCH_MAX_BYTES && !batch.records.is_empty() {
                break;
            }
            write.in_flight = true;
            batch.commands.push(*command);
            batch.records.push(write.bytes.clone());
        }
        (!batch.records.is_empty()).then_some(batch)
    }

    /// Records the result of an append for its entries.
    pub(crate) fn record_append(&self, commands: &[Command], result: AppendResult) {
        let mut table = lock(&self.table);
        for command in commands {
            let Some(write) = table.get_mut(command) else {
                continue;
            };
            write.in_flight = false;
            match result {
                AppendResult::Appended => {
                    write.may_have_run = true;
                    write.due = None;
                }
                AppendResult::MayHaveRun(due) => {
                    write.may_have_run = true;
                    write.due = Some(due);
                }
                AppendResult::NotRun(due) => write.due = Some(due),
            }
        }
    }

    /// Answers the callers of an applied entry.
    pub(crate) fn resolve(&self, applied: AppliedEntry) {
        let Some(write) = lock(&self.table).remove(&applied.command) else {
            return;
        };
        let answer = answer(applied.command, applied.offset, &applied.outcome);
        write.reply(&answer);
    }

    /// Answers the callers of all pending entries for which `find` returns an outcome.
    pub(crate) fn resolve_from(&self, find: impl Fn(Command) -> Option<(Offset, Outcome)>) {
        let commands: Vec<Command> = lock(&self.table).keys().copied().collect();
        for command in commands {
            if let Some((offset, outcome)) = find(command) {
                self.resolve(AppliedEntry {
                    command,
                    offset,
                    outcome,
                });
            }
        }
    }

    /// Gives up entries whose deadline has passed.
    pub(crate) fn expire(&self, now: u64) {
        let mut table = lock(&self.table);
        let final_answer = |command: Command, write: &PendingWrite| {
            // An append in progress may still take effect.
            let unsent = !write.may_have_run && !write.in_flight;
            if unsent && now >= write.not_sent_at.min(write.unknown_at) {
                let retry_after = RETRY_AFTER;
                Some(Answer::NotSent { retry_after })
            } else {
                (now >= write.unknown_at).then_some(Answer::Unknown { command })
            }
        };
        let rows = table.iter();
        let given_up: Vec<(Command, Answer)> = rows
            .filter_map(|(c, write)| Some((*c, final_answer(*c, write)?)))
            .collect();
        for (command, answer) in given_up {
            if let Some(write) = table.remove(&command) {
                write.reply(&answer);
            }
        }
    }

    /// Returns the time at which the next entry is due or given up, in ms.
    pub(crate) fn next_event(&self) -> Option<u64> {
        let table = lock(&self.table);
        let event = |write: &PendingWrite| {
            let give_up_at = match write.may_have_run || write.in_flight {
                true => write.unknown_at,
                false => write.not_sent_at.min(write.unknown_at),
            };
            let due = write.due.filter(|_| !write.in_flight);
            due.map_or(give_up_at, |due| due.min(give_up_at))
        };
        table.values().map(event).min()
    }
}

impl PendingWrite {
    /// Answers all callers; those that stopped waiting are ignored.
    fn reply(self, answer: &Answer) {
        for caller in self.callers {
            let _ = caller.send(answer.clone());
        }
    }
}

/// Converts the outcome of a command to the caller's answer.
pub(crate) fn answer(command: Command, offset: Offset, outcome: &Outcome) -> Answer {
    match outcome.first() {
        Outcome::Accepted(revision) => Answer::Accepted {
            offset,
            revision: *revision,
        },
        Outcome::Rejected(reason) => Answer::Rejected {
            offset,
            reason: reason.clone(),
        },
        // `Outcome::first` never returns a repeat.
        Outcome::Repeated(..) => Answer::Unknown { command },
    }
}
