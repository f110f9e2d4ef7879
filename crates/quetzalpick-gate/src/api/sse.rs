//! Server-sent events: parsing of engines' streams, and writing of callers' streams.

use bytes::{Bytes, BytesMut};

/// Data of the event that ends a stream.
pub(crate) const DONE: &str = "[DONE]";

/// Maximum size of an event, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// `EventTooLarge` reports an event that exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// `EventReader` splits a byte stream into events and returns the data of complete ones.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    pending: BytesMut,
}

impl EventReader {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// `EventTooLarge` if an event does not end within the maximum size.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > EVENT_MAX_BYTES && self.event_end().is_none() {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Returns the data of the next complete event that has some; comments and other fields are skipped.
    pub(crate) fn next_data(&mut self) -> Option<String> {
        loop {
            let (end, separator_len) = self.event_end()?;
            let event = self.pending.split_to(end + separator_len);
            if let Some(data) = event_data(&event[..end]) {
                return Some(data);
            }
        }
    }

    /// Returns the end of the first event and the length of the blank line after it, in bytes.
    fn event_end(&self) -> Option<(usize, usize)> {
        let find = |separator: &[u8]| {
            let end = self
                .pending
                .windows(separator.len())
                .position(|w| w == separator);
            end.map(|end| (end, separator.len()))
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

/// Formats an event; `data` must not contain line breaks.
pub(crate) fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Formats the error event that ends a stream which could not be completed.
pub(crate) fn error_event(json: &str) -> Bytes {
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}
