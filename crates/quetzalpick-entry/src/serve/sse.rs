//! Splits streams at the ends of events, so that only complete events are forwarded and a stream can be resumed.

use bytes::{Bytes, BytesMut};

use crate::serve::event_scanner::EventScanner;

/// Field with the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Start of the head of an answer, which no event has.
const HEAD_START: &[u8] = b"HTTP/1.";

/// Longest event that is buffered in full, in bytes; a longer one is forwarded in fragments.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// `EventSplitter` buffers a byte stream up to the ends of its events and tracks the last event id.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
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
    violation: Option<&'static str>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after an event.
    pub(crate) fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
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
    pub(crate) fn violation(&self) -> Option<&'static str> {
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

    /// Adds bytes and returns what can be forwarded, if anything.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if self.violation.is_some() {
            return None;
        }
        let mut scanned = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        let mut rest = bytes;
        while let Some(end) = self.scanner.scan(rest) {
            rest = &rest[end..];
            scanned += end;
            if !self.accept(complete, scanned) {
                break;
            }
            complete = scanned;
        }
        if complete > 0 {
            self.forwarded_fragment = false;
            return Some(self.buffer.split_to(complete).freeze());
        }
        if self.violation.is_some() || self.buffer.len() <= EVENT_MAX_BYTES {
            return None;
        }
        self.fragment_id = last_id(&self.buffer).or(self.fragment_id);
        self.violation = self.violation_of(&self.buffer, self.fragment_id);
        if self.violation.is_some() {
            return None;
        }
        self.forwarded_fragment = true;
        Some(self.buffer.split().freeze())
    }

    /// Accepts the bytes of the buffer from `start` to `end`, an event or a comment, as part of the stream; returns false if they are
    /// not.
    fn accept(&mut self, start: usize, end: usize) -> bool {
        let is_event = self.scanner.events() > self.events;
        if !is_event {
            return true;
        }
        let event = &self.buffer[start..end];
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
    fn violation_of(&self, event: &[u8], id: Option<u64>) -> Option<&'static str> {
        if event.starts_with(HEAD_START) {
            return Some("the head of another answer stands in the stream");
        }
        let goes_on = id.is_some() && id > self.last_id;
        (self.requires_continuation && !goes_on)
            .then_some("the answer does not go on after the last event")
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
