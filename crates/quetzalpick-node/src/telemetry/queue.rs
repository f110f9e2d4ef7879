//! A log appender that never blocks: a thread writes the lines from a bounded queue.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Most messages in the queue.
const QUEUE_MAX_MESSAGES: usize = 4_096;

/// Bytes after which a batch is written even if more lines are queued.
const BATCH_BYTES: usize = 64 * 1024;

/// Longest time that a flush waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two attempts to add a flush to a full queue.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// `Options` limits the rate of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Most lines per second of levels info, debug and trace together; warnings and errors are not limited.
    pub lines_per_s: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { lines_per_s: 1_000 }
    }
}

/// `Message` is sent to the writer thread.
enum Message {
    /// An encoded line to write.
    Line(Vec<u8>),
    /// Asks for a notification once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// `RateWindow` counts the lines of a window of one second.
#[derive(Debug)]
struct RateWindow {
    start: Instant,
    lines: u32,
}

/// `Queue` passes encoded log lines to a writer thread; lines above the rate limit or the queue's capacity are dropped
/// and counted.
#[derive(Debug)]
pub struct Queue {
    encoder: Box<dyn Encode>,
    options: Options,
    sender: SyncSender<Message>,
    window: Mutex<RateWindow>,
    /// Dropped lines that the writer has not reported yet.
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Starts the thread that writes to `target`.
    pub fn new(
        encoder: Box<dyn Encode>,
        target: impl Write + Send + 'static,
        options: Options,
    ) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_MAX_MESSAGES);
        let dropped = Arc::new(AtomicU64::new(0));
        let unreported = Arc::clone(&dropped);
        thread::spawn(move || write_all(&receiver, target, &unreported));
        let window = RateWindow {
            start: Instant::now(),
            lines: 0,
        };
        Self {
            encoder,
            options,
            sender,
            window: Mutex::new(window),
            dropped,
        }
    }

    /// Counts a line of a level and returns whether it is within the rate limit.
    fn is_within_limit(&self, level: Level) -> bool {
        if level <= Level::Warn {
            return true;
        }
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if now.duration_since(window.start) >= Duration::from_secs(1) {
            window.start = now;
            window.lines = 0;
        }
        window.lines += 1;
        window.lines <= self.options.lines_per_s
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.is_within_limit(record.level()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        if self.sender.try_send(Message::Line(line.0)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (notify, written) = sync_channel(1);
        let mut message = Message::Flush(notify);
        while let Err(TrySendError::Full(unsent)) = self.sender.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = unsent;
            thread::sleep(FLUSH_PAUSE);
        }
        // Lines that are not written by then are lost when the process ends.
        let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// Writes queued lines in batches until the appender is dropped.
fn write_all(receiver: &Receiver<Message>, mut target: impl Write, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(message) = receiver.recv() {
        let mut flushes = Vec::new();
        add_to_batch(message, &mut batch, &mut flushes);
        while batch.len() < BATCH_BYTES
            && let Ok(message) = receiver.try_recv()
        {
            add_to_batch(message, &mut batch, &mut flushes);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.extend_from_slice(format!("log: lines dropped={count}\n").as_bytes());
        }
        // An error cannot be reported anywhere, as the log output itself failed.
        let _: io::Result<()> = target.write_all(&batch).and_then(|()| target.flush());
        batch.clear();
        for notify in flushes {
            // The waiting thread may have timed out.
            let _ = notify.send(());
        }
    }
}

fn add_to_batch(message: Message, batch: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) {
    match message {
        Message::Line(line) => batch.extend_from_slice(&line),
        Message::Flush(notify) => flushes.push(notify),
    }
}
