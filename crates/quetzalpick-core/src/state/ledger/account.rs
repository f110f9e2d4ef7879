//! Loaded copies and open intents of one engine.

use serde::{Deserialize, Serialize};

use crate::id::{Artifact, EngineIncarnation, Offset, Sequence, Version};
use crate::record::{Operation, Settled, Settlement};
use crate::state::outcome::{Reason, conflict, unknown};
use crate::table::Table;

/// `OpenIntent` tracks an intent that is not settled; its order may arrive at the engine at any time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenIntent {
    /// Number of the intent among those of the endpoint.
    pub sequence: Sequence,
    /// Offset of the intent, the order's fencing number.
    pub fencing: Offset,
    /// The operation of the order.
    pub operation: Operation,
    /// Memory of the artifact, in MB.
    pub memory_mb: u64,
}

/// `Account` tracks the memory of one engine from its first report on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Incarnation of the engine in its last accepted report.
    #[serde(rename = "boot")]
    pub incarnation: EngineIncarnation,
    /// Confirmed copies with their memory in MB.
    pub loaded: Table<(Artifact, Version), u64>,
    /// Intents that are not settled, oldest first.
    pub open: Vec<OpenIntent>,
    /// Sequence of the last accepted intent.
    #[serde(rename = "last")]
    pub last_sequence: Sequence,
    /// Whether any accepted intent was an unload.
    #[serde(rename = "unloads")]
    pub has_unload_intent: bool,
    /// Offset of the last accepted report.
    pub reported: Offset,
    /// Offset of the last accepted record about the engine.
    pub changed: Offset,
}

impl Account {
    /// Returns whether a copy is confirmed and no open intent unloads it.
    pub fn serves(&self, artifact: &Artifact, version: Version) -> bool {
        let key = (artifact.clone(), version);
        let unloads =
            |open: &OpenIntent| open.operation == Operation::Unload(artifact.clone(), version);
        self.loaded.contains(&key) && !self.open.iter().any(unloads)
    }

    /// Returns whether any version of a model or adapter is served.
    pub fn serves_any(&self, artifact: &Artifact) -> bool {
        let copies = self.loaded.keys().filter(|(name, _)| name == artifact);
        copies
            .into_iter()
            .any(|(name, version)| self.serves(name, *version))
    }

    /// Returns the memory of loaded copies and open loads, in MB; copies with an open unload count.
    pub fn used_mb(&self) -> u64 {
        let loaded = self.loaded.values().copied();
        // A loaded copy is counted once, also while its load is still open.
        let loading = self.open.iter().filter(|open| match &open.operation {
            Operation::Load(name, version) => !self.loaded.contains(&(name.clone(), *version)),
            Operation::Unload(..) => false,
        });
        let loading = loading.map(|open| open.memory_mb);
        loaded.chain(loading).fold(0, u64::saturating_add)
    }

    /// Returns the memory of a copy that is loaded or has an open load, in MB.
    pub(crate) fn memory_of(&self, artifact: &Artifact, version: Version) -> Option<u64> {
        let copy = (artifact.clone(), version);
        let loaded = self.loaded.get(&copy).copied();
        let load = Operation::Load(artifact.clone(), version);
        let open = self.open.iter().find(|open| open.operation == load);
        loaded.or(open.map(|open| open.memory_mb))
    }

    /// Checks that no open intent concerns a copy, because the two orders could arrive in either sequence.
    pub(crate) fn check_no_open_intent(
        &self,
        artifact: &Artifact,
        version: Version,
    ) -> Result<(), Reason> {
        let load = Operation::Load(artifact.clone(), version);
        let unload = Operation::Unload(artifact.clone(), version);
        let concerns = |open: &&OpenIntent| open.operation == load || open.operation == unload;
        match self.open.iter().find(concerns) {
            Some(open) => {
                let sequence = open.sequence;
                Err(conflict(format!("order {sequence} of this copy is open")))
            }
            None => Ok(()),
        }
    }

    /// Settles an open intent and applies its effect to the loaded copies.
    pub(crate) fn settle(&mut self, offset: Offset, settled: &Settled) -> Result<(), Reason> {
        let index = self
            .open
            .iter()
            .position(|o| o.sequence == settled.sequence);
        let index = index.ok_or_else(|| unknown("open order", settled.sequence))?;
        // Another incarnation holds other copies, which have to be reported before it can settle an intent.
        if settled.incarnation != self.incarnation {
            return Err(conflict(format!(
                "the boot on record is {}",
                self.incarnation
            )));
        }
        // A report requested before the intent shows nothing about the order; one before the last `Report` is outdated.
        let fencing = self.open[index].fencing;
        if settled.as_of <= fencing.max(self.reported) {
            return Err(conflict(format!(
                "the report of {} is too old",
                settled.endpoint
            )));
        }
        self.changed = offset;
        let open = self.open.remove(index);
        match (settled.settlement, open.operation) {
            (Settlement::Done, Operation::Load(name, version)) => {
                self.loaded.insert((name, version), open.memory_mb);
            }
            (Settlement::Done, Operation::Unload(name, version)) => {
                self.loaded.remove(&(name, version));
            }
            (Settlement::Refused, _) => {}
        }
        Ok(())
    }
}
