//! Buffer of the newest entries of the control stream, from which lagging peers catch up.

use std::collections::VecDeque;

use bytes::Bytes;
use quetzalpick_core::id::Offset;

/// Maximum total size of the buffered entries, in bytes.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of buffered entries.
const MAX_ENTRIES: usize = 16 * 1024;

/// `RecentEntry` stores an encoded entry and the digest of the state after it.
#[derive(Debug, Clone)]
struct RecentEntry {
    bytes: Bytes,
    digest: u64,
}

/// `RecentEntries` stores consecutive entries up to the newest one, within limits on number and size.
#[derive(Debug, Default)]
pub(crate) struct RecentEntries {
    /// Offset of the oldest buffered entry.
    first: Offset,
    entries: VecDeque<RecentEntry>,
    /// Total size of the entries, in bytes.
    size: usize,
}

impl RecentEntries {
    /// Creates an empty buffer whose first entry will have the offset `first`.
    pub(crate) fn new(first: Offset) -> Self {
        Self {
            first,
            ..Self::default()
        }
    }

    /// Appends the next entry with the digest of the state after it, and drops the oldest entries beyond the limits.
    pub(crate) fn push(&mut self, bytes: Bytes, digest: u64) {
        self.size += bytes.len();
        self.entries.push_back(RecentEntry { bytes, digest });
        while self.size > MAX_BYTES || self.entries.len() > MAX_ENTRIES {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.size -= oldest.bytes.len();
            self.first.0 += 1;
        }
    }

    /// Returns the entries from an offset on, up to a total size in bytes; `None` if the first is no longer kept.
    pub(crate) fn entries_from(&self, from: Offset, max_bytes: usize) -> Option<Vec<Bytes>> {
        let skipped = from.0.checked_sub(self.first.0)?;
        let skipped = usize::try_from(skipped).ok()?;
        let mut size = 0;
        let fits = |entry: &&RecentEntry| {
            size += entry.bytes.len();
            size <= max_bytes
        };
        let entries = self.entries.iter().skip(skipped).take_while(fits);
        Some(entries.map(|entry| entry.bytes.clone()).collect())
    }

    /// Returns the digest of the state that had applied all entries before `next`, if the last of them is still kept.
    pub(crate) fn digest_at(&self, next: Offset) -> Option<u64> {
        let index = next.0.checked_sub(self.first.0)?.checked_sub(1)?;
        let entry = self.entries.get(usize::try_from(index).ok()?)?;
        Some(entry.digest)
    }
}
