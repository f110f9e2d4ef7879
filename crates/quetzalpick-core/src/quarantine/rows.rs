//! Bounded table of crashes, as kept by each VM and by the leader.

use crate::id::Endpoint;
use crate::quarantine::Part;
use crate::table::Table;

/// Maximum number of parts in a row.
const PARTS_MAX: usize = 256;

/// `Row` holds what is known about one crash.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    /// Earliest time at which the crash was seen, in ms.
    pub(crate) at_ms: u64,
    /// Parts of the requests that were broken off before their first event, sorted.
    pub(crate) parts: Vec<Part>,
}

impl Row {
    /// Returns whether a request with the part was broken off.
    pub(crate) fn contains(&self, part: Part) -> bool {
        self.parts.binary_search(&part).is_ok()
    }

    /// Adds a part unless the row is full; returns whether it is new.
    fn insert(&mut self, part: Part) -> bool {
        match self.parts.binary_search(&part) {
            Err(index) if self.parts.len() < PARTS_MAX => {
                self.parts.insert(index, part);
                true
            }
            _ => false,
        }
    }
}

/// `Rows` maps the starts of endpoints to their crashes.
#[derive(Debug, Clone)]
pub(crate) struct Rows {
    rows: Table<(Endpoint, Option<u64>), Row>,
    rows_max: usize,
}

impl Rows {
    /// Creates an empty table of at most `rows_max` crashes.
    pub(crate) fn new(rows_max: usize) -> Self {
        Self {
            rows: Table::default(),
            rows_max,
        }
    }

    /// Records a crash, or adds to one that is known; returns whether this changed anything.
    pub(crate) fn record(
        &mut self,
        at_ms: u64,
        endpoint: &Endpoint,
        started_ms: Option<u64>,
        parts: impl IntoIterator<Item = Part>,
    ) -> bool {
        let key = (endpoint.clone(), started_ms);
        let is_new = !self.rows.contains(&key);
        if is_new {
            self.make_room();
        }
        let row = self.rows.get_or_insert_with(key, || Row {
            at_ms,
            parts: Vec::new(),
        });
        let is_earlier = at_ms < row.at_ms;
        row.at_ms = row.at_ms.min(at_ms);
        let added = parts.into_iter().filter(|part| row.insert(*part)).count();
        is_new || is_earlier || added > 0
    }

    /// Drops crashes before a time in ms; returns whether there were any.
    pub(crate) fn expire(&mut self, before_ms: u64) -> bool {
        let former = self.rows.len();
        self.rows.retain(|_, row| row.at_ms >= before_ms);
        self.rows.len() < former
    }

    /// Iterates over the crashes with the endpoint and its start.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&(Endpoint, Option<u64>), &Row)> {
        self.rows.iter()
    }

    /// Iterates over the crashes.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns the time of the last crash that broke off a request with the part, in ms.
    pub(crate) fn last_ms(&self, part: Part) -> Option<u64> {
        let with_part = self.values().filter(|row| row.contains(part));
        with_part.map(|row| row.at_ms).max()
    }

    /// Drops the oldest crash if the table is full.
    fn make_room(&mut self) {
        if self.rows.len() < self.rows_max {
            return;
        }
        let oldest = self.rows.iter().min_by_key(|(_, row)| row.at_ms);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.rows.remove(&key);
        }
    }
}
