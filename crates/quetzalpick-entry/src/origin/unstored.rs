//! Recent streams that the leader has not stored.

use std::collections::VecDeque;

use quetzalpick_core::id::Service;
use quetzalpick_core::table::Table;

use crate::fleet::STREAM_TTL_MS;
use crate::origin::attempt::Attempt;
use crate::origin::{Origin, StoredRow};

/// `Unstored` holds the streams that a VM has to store once it leads and their service runs several builds.
#[derive(Debug, Default)]
pub(crate) struct Unstored {
    rows: Table<Origin, VecDeque<Row>>,
}

#[derive(Debug)]
struct Row {
    recorded_ms: u64,
    attempt: Attempt,
}

impl Unstored {
    /// Adds a stream.
    pub(crate) fn record(&mut self, now_ms: u64, attempt: Attempt, origin: &Origin) {
        let recorded_ms = now_ms;
        let row = Row {
            recorded_ms,
            attempt,
        };
        if let Some(rows) = self.rows.get_mut(origin) {
            rows.push_back(row);
        } else {
            self.rows.insert(origin.clone(), VecDeque::from([row]));
        }
        self.expire(now_ms);
    }

    /// Removes all streams.
    pub(crate) fn clear(&mut self) {
        self.rows = Table::default();
    }

    /// Removes and returns up to `max` streams of the services that `is_wanted` accepts.
    pub(crate) fn take(
        &mut self,
        now_ms: u64,
        max: usize,
        is_wanted: impl Fn(&Service) -> bool,
    ) -> Vec<StoredRow> {
        self.expire(now_ms);
        let mut left = max;
        let mut taken = Vec::new();
        for (origin, rows) in self.rows.iter_mut() {
            if !is_wanted(&origin.service) || left == 0 {
                continue;
            }
            let count = rows.len().min(left);
            left -= count;
            let attempts = rows.drain(..count).map(|row| row.attempt).collect();
            taken.push(StoredRow::new(origin.clone(), attempts));
        }
        self.rows.retain(|_, rows| !rows.is_empty());
        taken
    }

    /// Removes streams that can no longer be taken up.
    fn expire(&mut self, now_ms: u64) {
        for (_, rows) in self.rows.iter_mut() {
            let expired = |row: &Row| now_ms >= row.recorded_ms + STREAM_TTL_MS;
            while rows.front().is_some_and(expired) {
                rows.pop_front();
            }
        }
    }
}
