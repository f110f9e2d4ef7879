//! Splits streams at the ends of events, so that only complete events are forwarded and a stream can be resumed.

use bytes::Bytes;
use quetzalpick_node::http::memory::Memory;
use strum::{Display, IntoStaticStr};

use crate::serve::event_scanner::EventScanner;
use crate::serve::pending::Pending;

/// Field with the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Start of the head of an answer, which no event has.
const HEAD_START: &[u8] = b"HTTP/1.";

/// Longest event that is buffered in full, in bytes; a longer one is forwarded in fragments.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// `Violation` tells why the bytes of an answer from some point on do not belong to the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Violation {
    /// The head of another answer stands in the stream.
    #[strum(to_string = "the head of another answer stands in the stream")]
    Head,
    /// The answer does not go on after the last event.
    #[strum(to_string = "the answer does not go on after the last event")]
    Gap,
    /// An incomplete event was dropped for lack of memory.
    #[strum(to_string = "no memory for an incomplete event: {0}")]
    Memory(Loss),
}

/// `Loss` tells why there is no memory for an incomplete event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Loss {
    /// None was left.
    Short,
    /// The event stalled, and others needed what it had.
    Stalled,
}

/// `EventSplitter` buffers a byte stream up to the ends of its events and tracks the last event id.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    pending: Pending,
    scanner: EventScanner,
    /// Id of the last complete event.
    last_id: Option<u64>,
    /// Id in the forwarded fragments of an incomplete event.
    fragment_id: Option<u64>,
    /// Whether a fragment of an incomplete event was forwarded.
    forwarded_fragment: bool,
    /// Whether the next event must go on after the last one.
    requires_continuation: bool,
    /// Number of complete events.
    events: u64,
    /// Why the bytes from here on do not belong to the stream, if they do not.
    violation: Option<Violation>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after an event.
    pub(crate) fn resume_after(last_id: Option<u64>, memory: &Memory) -> Self {
        Self {
            pending: Pending::new(memory),
            scanner: EventScanner::default(),
            last_id,
            fragment_id: None,
            forwarded_fragment: false,
            requires_continuation: false,
            events: 0,
            violation: None,
        }
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Requires that the first event goes on after the last one of the stream.
    pub(crate) fn require_continuation(&mut self) {
        self.requires_continuation = true;
    }

    /// Returns why the bytes from here on do not belong to the stream, if they do not.
    pub(crate) fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Returns the number of complete events.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of bytes since the last complete event; above 0, the stream is inside an event.
    pub(crate) fn incomplete_bytes(&self) -> u64 {
        self.scanner.incomplete_bytes()
    }

    /// Returns whether all that was forwarded are complete events, so that another stream can continue after them.
    pub(crate) fn is_at_event_end(&self) -> bool {
        !self.forwarded_fragment
    }

    /// Waits until the memory of an incomplete event is given to others.
    pub(crate) async fn lost(&self) {
        self.pending.lost().await;
    }

    /// Drops an incomplete event.
    pub(crate) fn drop_event(&mut self) {
        self.pending.clear();
    }

    /// Drops an incomplete event for lack of memory; no further bytes belong to the stream.
    pub(crate) fn lose(&mut self, loss: Loss) {
        self.drop_event();
        self.violation = Some(Violation::Memory(loss));
    }

    /// Adds bytes and returns what can be forwarded, if anything.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if self.violation.is_some() {
            return None;
        }
        let former = self.pending.bytes().len();
        if self.pending.extend(bytes).is_err() {
            self.lose(Loss::Short);
            return None;
        }
        let complete = self.scan(former, bytes);
        let fragment = if complete > 0 {
            self.forwarded_fragment = false;
            Some(self.pending.take(complete))
        } else {
            self.take_long()
        };
        if self.violation.is_some() {
            self.drop_event();
        } else if self.pending.keep().is_err() {
            self.lose(Loss::Short);
        }
        fragment
    }

    /// Takes what is buffered of an event that is too long to be buffered in full.
    fn take_long(&mut self) -> Option<Bytes> {
        let bytes = self.pending.bytes();
        if self.violation.is_some() || bytes.len() <= EVENT_MAX_BYTES {
            return None;
        }
        self.fragment_id = last_id(bytes).or(self.fragment_id);
        self.violation = self.violation_of(bytes, self.fragment_id);
        if self.violation.is_some() {
            return None;
        }
        self.forwarded_fragment = true;
        Some(self.pending.take(bytes.len()))
    }

    /// Scans the bytes that were added to `former` ones, and returns the number of bytes that end with an accepted event or comment.
    fn scan(&mut self, former: usize, bytes: &[u8]) -> usize {
        let mut complete = 0;
        let mut scanned = former;
        let mut rest = bytes;
        while let Some(end) = self.scanner.scan(rest) {
            rest = &rest[end..];
            scanned += end;
            if !self.accept(complete, scanned) {
                break;
            }
            complete = scanned;
        }
        complete
    }

    /// Accepts the pending bytes from `start` to `end`, an event or a comment, as part of the stream; returns false if they are
    /// not.
    fn accept(&mut self, start: usize, end: usize) -> bool {
        let is_event = self.scanner.events() > self.events;
        if !is_event {
            return true;
        }
        let event = &self.pending.bytes()[start..end];
        let id = last_id(event).or(self.fragment_id.take());
        self.violation = self.violation_of(event, id);
        if self.violation.is_some() {
            return false;
        }
        self.requires_continuation = false;
        self.events = self.scanner.events();
        self.last_id = id.or(self.last_id);
        true
    }

    /// Returns why an event, complete or not, does not belong to the stream, if it does not.
    fn violation_of(&self, event: &[u8], id: Option<u64>) -> Option<Violation> {
        if event.starts_with(HEAD_START) {
            return Some(Violation::Head);
        }
        let goes_on = id.is_some() && id > self.last_id;
        (self.requires_continuation && !goes_on).then_some(Violation::Gap)
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
