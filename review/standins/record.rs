//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// `Record` writes lines with the time since its start, in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Returns the time since the start, in seconds.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now_s());
    }
}
