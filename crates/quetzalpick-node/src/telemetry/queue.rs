//! A log appender that never blocks: lines wait in a bounded queue for a thread that writes them.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Lines that may wait to be written.
const WAITING_MAX: usize = 4_096;

/// Bytes that are written at once, if so many wait.
const BATCH_BYTES: usize = 64 * 1024;

/// Longest wait for the queue to be written at the end of the process.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// `Options` bound the lines of an appender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Lines of level info and below in a second; warnings and errors always pass.
    pub lines_per_s: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { lines_per_s: 1_000 }
    }
}

/// `Item` is what the writing thread takes.
enum Item {
    /// A line.
    Line(Vec<u8>),
    /// Tells when everything before it is written.
    Flush(SyncSender<()>),
}

/// `Second` counts the lines of the present second.
#[derive(Debug)]
struct Second {
    since: Instant,
    lines: u32,
}

/// `Queue` is the appender.
#[derive(Debug)]
pub struct Queue {
    encoder: Box<dyn Encode>,
    options: Options,
    sender: SyncSender<Item>,
    second: Mutex<Second>,
    /// Lines that were not written, until the next written line tells of them.
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Starts the thread that writes to `target`.
    pub fn new(
        encoder: Box<dyn Encode>,
        target: impl Write + Send + 'static,
        options: Options,
    ) -> Self {
        let (sender, receiver) = sync_channel(WAITING_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let told = Arc::clone(&dropped);
        thread::spawn(move || write_all(&receiver, target, &told));
        let second = Second {
            since: Instant::now(),
            lines: 0,
        };
        Self {
            encoder,
            options,
            sender,
            second: Mutex::new(second),
            dropped,
        }
    }

    /// Tells whether a line of a level is within the bound of this second.
    fn is_within_bound(&self, level: Level) -> bool {
        if level <= Level::Warn {
            return true;
        }
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if now.duration_since(second.since) >= Duration::from_secs(1) {
            second.since = now;
            second.lines = 0;
        }
        second.lines += 1;
        second.lines <= self.options.lines_per_s
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.is_within_bound(record.level()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        if self.sender.try_send(Item::Line(line.0)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (written, wait) = sync_channel(1);
        if self.sender.try_send(Item::Flush(written)).is_ok() {
            // Whatever is not written by then is lost with the process.
            let _ = wait.recv_timeout(FLUSH_TIME);
        }
    }
}

/// Writes what is queued, in batches, until the appender is gone.
fn write_all(receiver: &Receiver<Item>, mut target: impl Write, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(item) = receiver.recv() {
        let mut flushed = Vec::new();
        take(item, &mut batch, &mut flushed);
        while batch.len() < BATCH_BYTES
            && let Ok(item) = receiver.try_recv()
        {
            take(item, &mut batch, &mut flushed);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.extend_from_slice(format!("log: lines dropped={count}\n").as_bytes());
        }
        // There is nowhere to report that the output is gone.
        let _: io::Result<()> = target.write_all(&batch).and_then(|()| target.flush());
        batch.clear();
        for written in flushed {
            // Whoever waited may have given up.
            let _ = written.send(());
        }
    }
}

fn take(item: Item, batch: &mut Vec<u8>, flushed: &mut Vec<SyncSender<()>>) {
    match item {
        Item::Line(line) => batch.extend_from_slice(&line),
        Item::Flush(written) => flushed.push(written),
    }
}
