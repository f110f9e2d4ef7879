//! Entries that were submitted and whose outcome is awaited.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::{Command, Offset};
use quetzalpick_core::state::Outcome;
use quetzalpick_core::table::Table;
use tokio::sync::{Notify, oneshot};

use crate::replica::Answer;
use crate::replica::shared::lock;
use crate::replica::view::Applied;

/// When a caller is told to come back after nothing could be appended.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Most bytes of one append.
const BATCH_MAX_BYTES: usize = 512 * 1024;

/// Most records of one append.
const BATCH_MAX_RECORDS: usize = 256;

/// `Write` is an entry whose outcome is awaited.
#[derive(Debug)]
struct Write {
    order: u64,
    bytes: Bytes,
    waiters: Vec<oneshot::Sender<Answer>>,
    /// Whether an append is under way.
    in_flight: bool,
    /// Whether it may be in the log or may get there.
    may_have_run: bool,
    /// When to append it, in ms; `None` once an append was confirmed.
    due: Option<u64>,
    /// When to give up if nothing was appended, in ms.
    not_sent_at: u64,
    /// When to give up in any case, in ms.
    unknown_at: u64,
}

/// `Deadlines` is when a write is given up, in ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadlines {
    /// If nothing was appended.
    pub(crate) not_sent_at: u64,
    /// In any case.
    pub(crate) unknown_at: u64,
}

/// `Batch` is a set of writes that are appended at once.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Their commands.
    pub(crate) commands: Vec<Command>,
    /// Their entries, in the same order.
    pub(crate) records: Vec<Bytes>,
}

/// `Fate` is what an append told of its records.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fate {
    /// They are in the log.
    Appended,
    /// They may get there; they are appended again at this time, in ms.
    MayHaveRun(u64),
    /// They are not there; they are appended again at this time, in ms.
    NotRun(u64),
}

/// `Writes` holds the entries whose outcome is awaited.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    table: Mutex<Table<Command, Write>>,
    /// Wakes the writer.
    pub(crate) added: Notify,
}

impl Writes {
    /// Adds an entry and returns where its answer arrives; a command that is awaited already is not added again.
    pub(crate) fn add(
        &self,
        now: u64,
        command: Command,
        bytes: Bytes,
        deadlines: Deadlines,
    ) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let mut table = lock(&self.table);
        let order = table.values().map(|write| write.order + 1).max();
        let write = table.get_or_insert_with(command, || Write {
            order: order.unwrap_or(0),
            bytes,
            waiters: Vec::new(),
            in_flight: false,
            may_have_run: false,
            due: Some(now),
            not_sent_at: deadlines.not_sent_at,
            unknown_at: deadlines.unknown_at,
        });
        write.waiters.push(sender);
        drop(table);
        self.added.notify_one();
        receiver
    }

    /// Takes the entries that are due for appending, oldest first, as far as one append holds them.
    pub(crate) fn take(&self, now: u64) -> Option<Batch> {
        let mut table = lock(&self.table);
        let is_due = |write: &Write| !write.in_flight && write.due.is_some_and(|due| due <= now);
        let mut due: Vec<(&Command, &mut Write)> = table
            .iter_mut()
            .filter(|(_, write)| is_due(write))
            .collect();
        due.sort_by_key(|(_, write)| write.order);
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

    /// Notes what an append told of its entries.
    pub(crate) fn note(&self, commands: &[Command], fate: Fate) {
        let mut table = lock(&self.table);
        for command in commands {
            let Some(write) = table.get_mut(command) else {
                continue;
            };
            write.in_flight = false;
            match fate {
                Fate::Appended => {
                    write.may_have_run = true;
                    write.due = None;
                }
                Fate::MayHaveRun(due) => {
                    write.may_have_run = true;
                    write.due = Some(due);
                }
                Fate::NotRun(due) => write.due = Some(due),
            }
        }
    }

    /// Answers the callers of an entry that was applied.
    pub(crate) fn resolve(&self, applied: Applied) {
        let Some(write) = lock(&self.table).remove(&applied.command) else {
            return;
        };
        let answer = answer(applied.command, applied.offset, &applied.outcome);
        write.reply(&answer);
    }

    /// Answers the callers of all entries whose outcome is found.
    pub(crate) fn settle(&self, find: impl Fn(Command) -> Option<(Offset, Outcome)>) {
        let commands: Vec<Command> = lock(&self.table).keys().copied().collect();
        for command in commands {
            if let Some((offset, outcome)) = find(command) {
                self.resolve(Applied {
                    command,
                    offset,
                    outcome,
                });
            }
        }
    }

    /// Gives up the entries whose time is over.
    pub(crate) fn expire(&self, now: u64) {
        let mut table = lock(&self.table);
        let verdict = |command: Command, write: &Write| {
            // An append under way may still take effect.
            let unsent = !write.may_have_run && !write.in_flight;
            if unsent && now >= write.not_sent_at.min(write.unknown_at) {
                let retry_after = RETRY_AFTER;
                Some(Answer::NotSent { retry_after })
            } else {
                (now >= write.unknown_at).then_some(Answer::Unknown { command })
            }
        };
        let rows = table.iter();
        let over: Vec<(Command, Answer)> = rows
            .filter_map(|(c, write)| Some((*c, verdict(*c, write)?)))
            .collect();
        for (command, answer) in over {
            if let Some(write) = table.remove(&command) {
                write.reply(&answer);
            }
        }
    }

    /// Returns when the next entry is due or given up, in ms.
    pub(crate) fn next_event(&self) -> Option<u64> {
        let table = lock(&self.table);
        let event = |write: &Write| {
            let end = match write.may_have_run || write.in_flight {
                true => write.unknown_at,
                false => write.not_sent_at.min(write.unknown_at),
            };
            let due = write.due.filter(|_| !write.in_flight);
            due.map_or(end, |due| due.min(end))
        };
        table.values().map(event).min()
    }
}

impl Write {
    /// Answers all callers; one that has gone away does not matter.
    fn reply(self, answer: &Answer) {
        for waiter in self.waiters {
            let _ = waiter.send(answer.clone());
        }
    }
}

/// Returns the answer that tells of an outcome.
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
        // A first outcome is never a repeat.
        Outcome::Repeated(..) => Answer::Unknown { command },
    }
}
