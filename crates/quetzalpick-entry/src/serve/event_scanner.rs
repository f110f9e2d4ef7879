//! Finds the ends of events in a byte stream.

/// `EventScanner` follows a stream of server-sent events across fragments.
///
/// A line ends with a line feed, a carriage return or both; an empty line ends an event. A line that begins with a
/// colon is a comment and belongs to no event.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    /// Number of complete events.
    events: u64,
    /// Bytes of the complete lines of the current event.
    event_bytes: u64,
    /// Bytes of the current line.
    line_bytes: u64,
    is_comment: bool,
    after_carriage_return: bool,
}

impl EventScanner {
    /// Returns the number of complete events so far.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of bytes since the last complete event or comment; above 0, the stream is inside one.
    pub(crate) fn incomplete_bytes(&self) -> u64 {
        self.event_bytes + self.line_bytes
    }

    /// Scans the next bytes up to the first end of an event or comment; returns the index behind it, or `None` if all were
    /// scanned.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            let ends_line = matches!(byte, b'\n' | b'\r');
            let is_second_half = *byte == b'\n' && self.after_carriage_return;
            self.after_carriage_return = *byte == b'\r';
            if !ends_line {
                self.is_comment |= self.line_bytes == 0 && *byte == b':';
                self.line_bytes += 1;
                continue;
            }
            if !is_second_half {
                self.end_line();
            }
            if self.incomplete_bytes() == 0 {
                return Some(index + 1);
            }
        }
        None
    }

    fn end_line(&mut self) {
        if self.line_bytes == 0 {
            // More than one empty line may stand between two events.
            self.events += u64::from(self.event_bytes > 0);
            self.event_bytes = 0;
        } else if !self.is_comment {
            self.event_bytes += self.line_bytes + 1;
        }
        self.line_bytes = 0;
        self.is_comment = false;
    }
}
