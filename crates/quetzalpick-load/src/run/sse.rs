//! Splits a body of server-sent events into its data lines.

/// `Lines` collects bytes and yields the data of whole events.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    rest: Vec<u8>,
}

impl Lines {
    /// Takes bytes and returns the data of the events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        self.rest.extend_from_slice(bytes);
        let mut data = Vec::new();
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(text) = line.strip_prefix("data:") {
                data.push(text.trim().to_owned());
            }
        }
        data
    }
}
