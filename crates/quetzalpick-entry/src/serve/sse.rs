//! Splits streams at the ends of events, so that they can be resumed at another endpoint.

use bytes::{Bytes, BytesMut};

/// Field with the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Longest event that is buffered in full, in bytes; a longer one is forwarded in fragments.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// `EventSplitter` buffers a byte stream up to the ends of its events and tracks the last event id.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after an event.
    pub(crate) fn resume_after(last_id: Option<u64>) -> Self {
        let buffer = BytesMut::new();
        Self { buffer, last_id }
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds bytes and returns the events that are complete, if any.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = complete_events_len(&self.buffer);
        let end = if end == 0 && self.buffer.len() > EVENT_MAX_BYTES {
            self.buffer.len()
        } else {
            end
        };
        if end == 0 {
            return None;
        }
        let complete = self.buffer.split_to(end).freeze();
        self.last_id = last_id(&complete).or(self.last_id);
        Some(complete)
    }

    /// Returns the remaining bytes at the regular end of the stream.
    pub(crate) fn finish(&mut self) -> Option<Bytes> {
        let rest = std::mem::take(&mut self.buffer).freeze();
        Some(rest).filter(|rest| !rest.is_empty())
    }
}

/// Returns the length of the complete events at the start of a buffer; an event ends with an empty line.
fn complete_events_len(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            end = index + 1;
        }
        line_start = index + 1;
    }
    end
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
