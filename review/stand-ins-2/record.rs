//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            began: Instant::now(),
            file,
        })
    }

    /// Returns the time since the start of the run, in ms.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.began).as_millis()
    }

    pub fn line(&self, text: &str) {
        let at = self.ms(Instant::now());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} {text}");
    }
}
