//! The parts that are quarantined.

use crate::quarantine::Part;
use crate::table::Table;

/// Maximum number of quarantined parts.
const PARTS_MAX: usize = 256;

/// `Entry` holds the times of one quarantined part.
#[derive(Debug, Clone)]
struct Entry {
    /// When the part was quarantined, in ms.
    added_ms: u64,
    /// Last crash with the part, in ms.
    crashed_ms: u64,
}

/// `Blocklist` holds the quarantined parts; the oldest one makes room for a new one.
#[derive(Debug, Clone, Default)]
pub(crate) struct Blocklist {
    /// The keys of `entries`.
    parts: Vec<Part>,
    entries: Table<Part, Entry>,
}

impl Blocklist {
    /// Returns the parts, sorted.
    pub(crate) fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Returns whether a part is quarantined.
    pub(crate) fn contains(&self, part: Part) -> bool {
        self.entries.contains(&part)
    }

    /// Adds a part that last crashed an endpoint at `crashed_ms`, unless it is present.
    pub(crate) fn insert(&mut self, now_ms: u64, part: Part, crashed_ms: u64) {
        if self.contains(part) {
            return;
        }
        if self.entries.len() >= PARTS_MAX {
            self.drop_oldest();
        }
        let entry = Entry {
            added_ms: now_ms,
            crashed_ms,
        };
        self.entries.insert(part, entry);
        self.copy_keys();
    }

    /// Records a crash with the part.
    pub(crate) fn record_crash(&mut self, at_ms: u64, part: Part) {
        if let Some(entry) = self.entries.get_mut(&part) {
            entry.crashed_ms = entry.crashed_ms.max(at_ms);
        }
    }

    /// Removes a part if it was answered after its last crash; returns whether it did.
    pub(crate) fn release(&mut self, answered_ms: u64, part: Part) -> bool {
        let entry = self.entries.get(&part);
        let releases = entry.is_some_and(|entry| answered_ms > entry.crashed_ms);
        if releases {
            self.entries.remove(&part);
            self.copy_keys();
        }
        releases
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.added_ms);
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.entries.remove(&part);
        }
    }

    fn copy_keys(&mut self) {
        self.parts = self.entries.keys().copied().collect();
    }
}
