//! Origins of the streams that may still be taken up.

use std::collections::VecDeque;

use crate::fleet::STREAM_TTL_MS;
use crate::origin::Origin;

/// Time covered by one slice, in ms.
const SLICE_MS: u64 = 1_000;

/// `Recent` stores origins by the attempt that began the stream, in slices of time that expire as a whole.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    /// Oldest first.
    slices: VecDeque<Slice>,
}

/// `Slice` stores what was recorded within `SLICE_MS`.
#[derive(Debug)]
struct Slice {
    began_ms: u64,
    rows: Vec<(String, Origin)>,
    is_sorted: bool,
}

impl Recent {
    /// Records the origin of the stream that an attempt began.
    pub(crate) fn record(&mut self, now_ms: u64, attempt: String, origin: Origin) {
        self.expire(now_ms);
        let current = self.slices.back_mut();
        let current = current.filter(|slice| now_ms < slice.began_ms + SLICE_MS);
        match current {
            Some(slice) => {
                slice.rows.push((attempt, origin));
                slice.is_sorted = false;
            }
            None => self.slices.push_back(Slice {
                began_ms: now_ms,
                rows: vec![(attempt, origin)],
                is_sorted: true,
            }),
        }
    }

    /// Returns the origin recorded last for an attempt.
    pub(crate) fn find(&mut self, now_ms: u64, attempt: &str) -> Option<Origin> {
        self.expire(now_ms);
        let mut newest_first = self.slices.iter_mut().rev();
        newest_first.find_map(|slice| slice.find(attempt))
    }

    /// Returns all attempts with their origins, oldest first.
    pub(crate) fn rows(&mut self, now_ms: u64) -> impl Iterator<Item = (&str, &Origin)> {
        self.expire(now_ms);
        let rows = self.slices.iter().flat_map(|slice| &slice.rows);
        rows.map(|(attempt, origin)| (attempt.as_str(), origin))
    }

    fn expire(&mut self, now_ms: u64) {
        let expired = |slice: &Slice| now_ms >= slice.began_ms + SLICE_MS + STREAM_TTL_MS;
        while self.slices.front().is_some_and(expired) {
            self.slices.pop_front();
        }
    }
}

impl Slice {
    fn find(&mut self, attempt: &str) -> Option<Origin> {
        if !self.is_sorted {
            // Stable, so that the last record of an attempt stays behind its former ones.
            self.rows.sort_by(|a, b| a.0.cmp(&b.0));
            self.is_sorted = true;
        }
        let end = self
            .rows
            .partition_point(|(name, _)| name.as_str() <= attempt);
        let (name, origin) = self.rows.get(end.checked_sub(1)?)?;
        (name == attempt).then(|| origin.clone())
    }
}
