//! Server-sent events: reading an engine's stream and writing the caller's.

use bytes::{Bytes, BytesMut};

/// Data of the event that ends a stream.
pub(crate) const DONE: &str = "[DONE]";

/// Largest event, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// `EventTooLarge` says that an event is larger than any that an engine sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// `EventReader` cuts a byte stream into the data of events. It takes only events that are complete.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    pending: BytesMut,
}

impl EventReader {
    /// Adds bytes as they arrive.
    ///
    /// # Errors
    ///
    /// `EventTooLarge` if an event does not end within the largest size.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > EVENT_MAX_BYTES && self.event_end().is_none() {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Returns the data of the next complete event; comments and other fields are passed over.
    pub(crate) fn next_data(&mut self) -> Option<String> {
        loop {
            let (end, separator_len) = self.event_end()?;
            let event = self.pending.split_to(end + separator_len);
            if let Some(data) = event_data(&event[..end]) {
                return Some(data);
            }
        }
    }

    /// Finds the end of the first event and the length of the blank line after it.
    fn event_end(&self) -> Option<(usize, usize)> {
        let find = |separator: &[u8]| {
            let at = self
                .pending
                .windows(separator.len())
                .position(|w| w == separator);
            at.map(|at| (at, separator.len()))
        };
        match (find(b"\n\n"), find(b"\r\n\r\n")) {
            (Some(short), Some(long)) => Some(short.min(long)),
            (short, long) => short.or(long),
        }
    }
}

/// Joins the data lines of an event; `None` if it has none.
fn event_data(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let lines: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|data| data.strip_prefix(' ').unwrap_or(data))
        .collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

/// Writes one event; `data` holds no line break.
pub(crate) fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Writes an error event, which ends a stream that could not be completed.
pub(crate) fn error_event(json: &str) -> Bytes {
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}
