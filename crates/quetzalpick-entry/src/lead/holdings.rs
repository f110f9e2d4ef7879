//! What engines hold, with the version at which that changed.

use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::table::Table;

use crate::exchange::{Copies, Known};

/// `Holdings` is what engines hold by the leader's account, so that VMs are told what changed.
#[derive(Debug)]
pub(crate) struct Holdings {
    known: Known,
    /// What serves at each engine, and the version since which that is so.
    rows: Table<Endpoint, (Vec<Artifact>, u64)>,
}

impl Holdings {
    /// Makes holdings that know no engine, as an office opens. A term may open one again, whose versions go on above those of
    /// the former one: they begin with the time and grow by less than one a millisecond.
    pub(crate) fn new(fence: u64, now_ms: u64) -> Self {
        let version = now_ms;
        Self {
            known: Known { fence, version },
            rows: Table::default(),
        }
    }

    /// Takes in what engines hold now; tells whether that changed.
    pub(crate) fn take(&mut self, held: Vec<(Endpoint, Vec<Artifact>)>) -> bool {
        let version = self.known.version + 1;
        let mut changed = false;
        for (endpoint, copies) in held {
            match self.rows.get_mut(&endpoint) {
                Some((known, _)) if *known == copies => {}
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
        self.known.version += u64::from(changed);
        changed
    }

    /// Forgets the engines that are not named.
    pub(crate) fn retain(&mut self, is_named: impl Fn(&Endpoint) -> bool) {
        self.rows.retain(|endpoint, _| is_named(endpoint));
    }

    /// Returns the version, for those who wait for another one.
    pub(crate) fn version(&self) -> u64 {
        self.known.version
    }

    /// Returns what changed since a VM was told; `None` if nothing did.
    pub(crate) fn since(&self, known: Known) -> Option<Copies> {
        if known == self.known {
            return None;
        }
        let same_term = known.fence == self.known.fence;
        let from = if same_term { known.version } else { 0 };
        let rows = self.rows.iter().filter(|(_, (_, since))| *since > from);
        Some(Copies {
            known: self.known,
            rows: rows
                .map(|(endpoint, (copies, _))| (endpoint.clone(), copies.clone()))
                .collect(),
        })
    }
}
