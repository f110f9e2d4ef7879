//! The features that are quarantined.

use crate::quarantine::Feature;
use crate::table::Table;

/// Maximum number of quarantined features of each kind.
const FEATURES_MAX: usize = 256;

/// `Entry` holds the times of one quarantined feature.
#[derive(Debug, Clone)]
struct Entry {
    /// When the feature was quarantined, in ms.
    added_ms: u64,
    /// Last crash with the feature, in ms.
    crashed_ms: u64,
}

/// `Blocklist` holds the quarantined features; the oldest one makes room for a new one.
#[derive(Debug, Clone, Default)]
pub(crate) struct Blocklist {
    /// The keys of `entries`.
    features: Vec<Feature>,
    entries: Table<Feature, Entry>,
}

impl Blocklist {
    /// Returns the features, sorted.
    pub(crate) fn features(&self) -> &[Feature] {
        &self.features
    }

    /// Returns whether a feature is quarantined.
    pub(crate) fn contains(&self, feature: Feature) -> bool {
        self.entries.contains(&feature)
    }

    /// Adds a feature that last crashed an endpoint at `crashed_ms`, unless it is present.
    pub(crate) fn insert(&mut self, now_ms: u64, feature: Feature, crashed_ms: u64) {
        if self.contains(feature) {
            return;
        }
        self.make_room(feature);
        let entry = Entry {
            added_ms: now_ms,
            crashed_ms,
        };
        self.entries.insert(feature, entry);
        self.copy_keys();
    }

    /// Records a crash with the feature.
    pub(crate) fn record_crash(&mut self, at_ms: u64, feature: Feature) {
        if let Some(entry) = self.entries.get_mut(&feature) {
            entry.crashed_ms = entry.crashed_ms.max(at_ms);
        }
    }

    /// Removes a feature if it was answered after its last crash; returns whether it did.
    pub(crate) fn release(&mut self, answered_ms: u64, feature: Feature) -> bool {
        let entry = self.entries.get(&feature);
        let releases = entry.is_some_and(|entry| answered_ms > entry.crashed_ms);
        if releases {
            self.entries.remove(&feature);
            self.copy_keys();
        }
        releases
    }

    /// Drops the oldest feature of the same kind if there are too many.
    fn make_room(&mut self, feature: Feature) {
        let is_alike = |other: &Feature| other.is_request() == feature.is_request();
        let alike = || self.entries.iter().filter(|(other, _)| is_alike(other));
        if alike().count() < FEATURES_MAX {
            return;
        }
        let oldest = alike().min_by_key(|(_, entry)| entry.added_ms);
        if let Some(oldest) = oldest.map(|(oldest, _)| *oldest) {
            self.entries.remove(&oldest);
        }
    }

    fn copy_keys(&mut self) {
        self.features = self.entries.keys().copied().collect();
    }
}
