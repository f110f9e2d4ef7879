//! Log lines are queued, so that a blocked output does not block the process; those above the rate limit or the queue's
//! capacity are dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::pattern::PatternEncoder;
use quetzalpick_node::telemetry::queue::{Options, Queue};

#[derive(Clone, Default)]
struct Output {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output in which each write blocks until it is released through the channel, or the channel is closed.
struct BlockedOutput {
    releases: Receiver<()>,
    output: Output,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.releases.recv();
        self.output.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_output() -> (Sender<()>, Output, BlockedOutput) {
    let (release, releases) = channel();
    let output = Output::default();
    let blocked = BlockedOutput {
        releases,
        output: output.clone(),
    };
    (release, output, blocked)
}

fn queue(target: impl Write + Send + 'static, lines_per_s: u32) -> Queue {
    let encoder = Box::new(PatternEncoder::new("{m}{n}"));
    Queue::new(encoder, target, Options { lines_per_s })
}

fn line(queue: &Queue, level: Level, text: &str) {
    let arguments = format_args!("{text}");
    let record = Record::builder().level(level).args(arguments).build();
    queue.append(&record).unwrap();
}

fn text(output: &Output) -> String {
    String::from_utf8(output.bytes.lock().unwrap().clone()).unwrap()
}

#[test]
fn lines_are_written_in_order() {
    let output = Output::default();
    let queue = queue(output.clone(), 10);
    line(&queue, Level::Info, "first");
    line(&queue, Level::Warn, "second");
    queue.flush();
    assert_eq!(text(&output), "first\nsecond\n");
}

#[test]
fn lines_above_the_rate_limit_are_counted_and_warnings_are_written() {
    let output = Output::default();
    let queue = queue(output.clone(), 0);
    (0..5).for_each(|_| line(&queue, Level::Info, "decision"));
    line(&queue, Level::Warn, "warning");
    queue.flush();
    assert_eq!(text(&output), "warning\nlog: lines dropped=5\n");
}

#[test]
fn blocked_output_does_not_block_logging() {
    let (release, output, target) = blocked_output();
    let queue = queue(target, u32::MAX);
    // More than one batch and the queue hold together.
    (0..20_000).for_each(|_| line(&queue, Level::Info, "decision"));
    for _ in 0..20_000 {
        let _ = release.send(());
    }
    drop(release);
    queue.flush();
    assert!(text(&output).contains("log: lines dropped="));
}
