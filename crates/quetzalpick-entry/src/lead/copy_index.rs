//! Versioned index of the copies that serve at each engine.

use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::table::Table;

use crate::exchange::{CopiesUpdate, CopiesVersion};

/// `CopyIndex` stores the copies at each engine with the version of their last change, so that VMs receive only changes.
#[derive(Debug)]
pub(crate) struct CopyIndex {
    current: CopiesVersion,
    /// Copies that serve at each engine, and the version of their last change.
    rows: Table<Endpoint, (Vec<Artifact>, u64)>,
}

impl CopyIndex {
    /// Creates an empty index for new leader state. If the state is created again within one term, its versions must exceed the
    /// former ones: they start at the current time and grow by less than one per millisecond.
    pub(crate) fn new(fence: u64, now_ms: u64) -> Self {
        let version = now_ms;
        Self {
            current: CopiesVersion { fence, version },
            rows: Table::default(),
        }
    }

    /// Updates the copies of engines; returns whether any changed.
    pub(crate) fn update(&mut self, held: Vec<(Endpoint, Vec<Artifact>)>) -> bool {
        let version = self.current.version + 1;
        let mut changed = false;
        for (endpoint, copies) in held {
            match self.rows.get_mut(&endpoint) {
                Some((former, _)) if *former == copies => {}
                Some(row) => {
                    *row = (copies, version);
                    changed = true;
                }
                None => {
                    self.rows.insert(endpoint, (copies, version));
                    changed = true;
                }
            }
        }
        self.current.version += u64::from(changed);
        changed
    }

    /// Removes the engines for which `is_present` returns false.
    pub(crate) fn retain(&mut self, is_present: impl Fn(&Endpoint) -> bool) {
        self.rows.retain(|endpoint, _| is_present(endpoint));
    }

    /// Returns the current version.
    pub(crate) fn version(&self) -> u64 {
        self.current.version
    }

    /// Returns the changes since a version that a VM has; `None` if there are none.
    pub(crate) fn changes_since(&self, known: CopiesVersion) -> Option<CopiesUpdate> {
        if known == self.current {
            return None;
        }
        let same_term = known.fence == self.current.fence;
        let from = if same_term { known.version } else { 0 };
        let rows = self.rows.iter().filter(|(_, (_, since))| *since > from);
        Some(CopiesUpdate {
            version: self.current,
            rows: rows
                .map(|(endpoint, (copies, _))| (endpoint.clone(), copies.clone()))
                .collect(),
        })
    }
}
