//! Bounded table of crashes, as kept by each VM and by the leader.

use crate::id::Endpoint;
use crate::quarantine::Feature;
use crate::table::Table;

/// Maximum number of features of each kind in a row.
const FEATURES_MAX: usize = 256;

/// `Row` holds what is known about one crash.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    /// Earliest time at which the crash was seen, in ms.
    pub(crate) at_ms: u64,
    /// What the requests that were broken off may have in common, sorted.
    pub(crate) features: Vec<Feature>,
}

impl Row {
    /// Returns whether a request with the feature was broken off.
    pub(crate) fn contains(&self, feature: Feature) -> bool {
        self.features.binary_search(&feature).is_ok()
    }

    /// Returns the number of features of the same kind as another one.
    fn count_like(&self, feature: Feature) -> usize {
        let is_request = feature.is_request();
        let alike = self
            .features
            .iter()
            .filter(|f| f.is_request() == is_request);
        alike.count()
    }

    /// Adds a feature unless the row is full; returns whether it is new.
    fn insert(&mut self, feature: Feature) -> bool {
        match self.features.binary_search(&feature) {
            Err(index) if self.count_like(feature) < FEATURES_MAX => {
                self.features.insert(index, feature);
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
        features: impl IntoIterator<Item = Feature>,
    ) -> bool {
        let key = (endpoint.clone(), started_ms);
        let is_new = !self.rows.contains(&key);
        if is_new {
            self.make_room();
        }
        let row = self.rows.get_or_insert_with(key, || Row {
            at_ms,
            features: Vec::new(),
        });
        let is_earlier = at_ms < row.at_ms;
        row.at_ms = row.at_ms.min(at_ms);
        let added = features
            .into_iter()
            .filter(|feature| row.insert(*feature))
            .count();
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

    /// Returns the time of the last crash that broke off a request with the feature, in ms.
    pub(crate) fn last_ms(&self, feature: Feature) -> Option<u64> {
        let with_feature = self.values().filter(|row| row.contains(feature));
        with_feature.map(|row| row.at_ms).max()
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
