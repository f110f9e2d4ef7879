//! The newest entries of the control stream, kept for peers that are behind.

use std::collections::VecDeque;

use bytes::Bytes;
use quetzalpick_core::id::Offset;

/// Most bytes of entries that are kept.
const KEPT_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Most entries that are kept.
const KEPT_MAX_ENTRIES: usize = 16 * 1024;

/// `Kept` is one entry and the digest of the state after it.
#[derive(Debug, Clone)]
struct Kept {
    bytes: Bytes,
    digest: u64,
}

/// `Ring` is a bounded run of the newest entries.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    first: Offset,
    entries: VecDeque<Kept>,
    size: usize,
}

impl Ring {
    /// Creates an empty ring whose first entry will have the offset `first`.
    pub(crate) fn new(first: Offset) -> Self {
        Self {
            first,
            ..Self::default()
        }
    }

    /// Adds the next entry with the digest of the state after it and drops the oldest ones beyond the bounds.
    pub(crate) fn push(&mut self, bytes: Bytes, digest: u64) {
        self.size += bytes.len();
        self.entries.push_back(Kept { bytes, digest });
        while self.size > KEPT_MAX_BYTES || self.entries.len() > KEPT_MAX_ENTRIES {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.size -= oldest.bytes.len();
            self.first.0 += 1;
        }
    }

    /// Returns entries from an offset on, up to a size in bytes; `None` if the offset is no longer kept.
    pub(crate) fn run(&self, from: Offset, max_bytes: usize) -> Option<Vec<Bytes>> {
        let skipped = from.0.checked_sub(self.first.0)?;
        let skipped = usize::try_from(skipped).ok()?;
        let mut size = 0;
        let fits = |kept: &&Kept| {
            size += kept.bytes.len();
            size <= max_bytes
        };
        let kept = self.entries.iter().skip(skipped).take_while(fits);
        Some(kept.map(|kept| kept.bytes.clone()).collect())
    }

    /// Returns the digest of the state whose first entry not applied is at `next`, if that entry's forerunner is kept.
    pub(crate) fn digest(&self, next: Offset) -> Option<u64> {
        let at = next.0.checked_sub(self.first.0)?.checked_sub(1)?;
        let kept = self.entries.get(usize::try_from(at).ok()?)?;
        Some(kept.digest)
    }
}
