//! Log lines wait in a queue, and those beyond the bounds are dropped and counted.

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

/// An output that takes nothing until it is told to.
struct Stuck {
    go_on: Receiver<()>,
    output: Output,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.go_on.recv();
        self.output.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stuck() -> (Sender<()>, Output, Stuck) {
    let (sender, go_on) = channel();
    let output = Output::default();
    let stuck = Stuck {
        go_on,
        output: output.clone(),
    };
    (sender, output, stuck)
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
fn lines_beyond_the_bound_are_counted_and_warnings_pass() {
    let output = Output::default();
    let queue = queue(output.clone(), 0);
    (0..5).for_each(|_| line(&queue, Level::Info, "decision"));
    line(&queue, Level::Warn, "warning");
    queue.flush();
    assert_eq!(text(&output), "warning\nlog: lines dropped=5\n");
}

#[test]
fn an_output_that_is_stuck_blocks_nobody() {
    let (go_on, output, target) = stuck();
    let queue = queue(target, u32::MAX);
    (0..10_000).for_each(|_| line(&queue, Level::Info, "decision"));
    for _ in 0..10_000 {
        let _ = go_on.send(());
    }
    drop(go_on);
    queue.flush();
    assert!(text(&output).contains("log: lines dropped="));
}
