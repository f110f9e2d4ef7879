//! Whole events of a stream, for streams that may go on at another endpoint.

use bytes::{Bytes, BytesMut};

/// Field that names an event.
const ID_FIELD: &[u8] = b"id:";

/// Longest event, in bytes; a longer one is passed on in pieces.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// `Events` cuts a stream of bytes at the ends of events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    waiting: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// Goes on after an event.
    pub(crate) fn after(last: Option<u64>) -> Self {
        let waiting = BytesMut::new();
        Self { waiting, last }
    }

    /// Returns the id of the last whole event.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes bytes and returns the whole events that are there, if any.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.waiting.extend_from_slice(bytes);
        let end = end_of_events(&self.waiting);
        let end = if end == 0 && self.waiting.len() > EVENT_MAX_BYTES {
            self.waiting.len()
        } else {
            end
        };
        if end == 0 {
            return None;
        }
        let whole = self.waiting.split_to(end).freeze();
        self.last = last_id(&whole).or(self.last);
        Some(whole)
    }

    /// Returns what is left when the stream ended as complete.
    pub(crate) fn finish(&mut self) -> Option<Bytes> {
        let rest = std::mem::take(&mut self.waiting).freeze();
        Some(rest).filter(|rest| !rest.is_empty())
    }
}

/// Returns the length of the whole events at the begin of a buffer: an event ends with an empty line.
fn end_of_events(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            end = at + 1;
        }
        line_start = at + 1;
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
