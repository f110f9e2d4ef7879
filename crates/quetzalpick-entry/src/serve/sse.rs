//! Splits streams at the ends of events, so that only complete events are forwarded and a stream can be resumed.

use bytes::{Bytes, BytesMut};

use crate::serve::event_scanner::EventScanner;

/// Field with the id of an event.
const ID_FIELD: &[u8] = b"id:";

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

    /// Returns the number of complete events.
    pub(crate) fn events(&self) -> u64 {
        self.scanner.events()
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
        let buffered = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        if let Some(end) = self.scanner.scan(bytes) {
            let events = self.buffer.split_to(buffered + end).freeze();
            let fragment_id = self.fragment_id.take();
            self.last_id = last_id(&events).or(fragment_id).or(self.last_id);
            self.forwarded_fragment = false;
            return Some(events);
        }
        if self.buffer.len() <= EVENT_MAX_BYTES {
            return None;
        }
        let fragment = self.buffer.split().freeze();
        self.fragment_id = last_id(&fragment).or(self.fragment_id);
        self.forwarded_fragment = true;
        Some(fragment)
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
