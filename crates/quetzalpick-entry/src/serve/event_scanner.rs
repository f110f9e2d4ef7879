//! Finds the ends of events in a byte stream.

/// `EventScanner` follows a stream of server-sent events across fragments; an event ends with an empty line.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    /// Number of complete events.
    events: u64,
    /// Bytes since the end of the last complete event.
    incomplete_bytes: u64,
    /// Whether the current line has any content.
    line_has_content: bool,
}

impl EventScanner {
    /// Returns the number of complete events so far.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of bytes since the last complete event; above 0, the stream is inside an event.
    pub(crate) fn incomplete_bytes(&self) -> u64 {
        self.incomplete_bytes
    }

    /// Scans the next bytes and returns the index behind the last event that ends in them, if any.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if !self.line_has_content => {
                    // More than one empty line may stand between two events.
                    self.events += u64::from(self.incomplete_bytes > 0);
                    self.incomplete_bytes = 0;
                    end = Some(index + 1);
                }
                b'\n' => {
                    self.line_has_content = false;
                    self.incomplete_bytes += 1;
                }
                // Belongs to the end of its line.
                b'\r' => {}
                _ => {
                    self.line_has_content = true;
                    self.incomplete_bytes += 1;
                }
            }
        }
        end
    }
}
