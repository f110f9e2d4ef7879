//! Extracts the `data:` lines of a body of server-sent events.

/// `EventDecoder` buffers bytes until they form complete lines and yields the content of `data:` lines.
#[derive(Debug, Default)]
pub(crate) struct EventDecoder {
    buffer: Vec<u8>,
}

impl EventDecoder {
    /// Appends bytes and returns the content of the `data:` lines that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        self.buffer.extend_from_slice(bytes);
        let mut data = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(text) = line.strip_prefix("data:") {
                data.push(text.trim().to_owned());
            }
        }
        data
    }
}
