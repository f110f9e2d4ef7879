//! The account of one engine.

use serde::{Deserialize, Serialize};

use crate::id::{Artifact, EngineIncarnation, Offset, Sequence, Version};
use crate::record::{Operation, Settled, Settlement};
use crate::state::outcome::{Reason, conflict, unknown};
use crate::table::Table;

/// `OpenIntent` is an intent not known to be finished; its order may arrive at any time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenIntent {
    /// Place in the endpoint's order.
    pub sequence: Sequence,
    /// Offset of the intent, the order's fencing number.
    pub fencing: Offset,
    /// The order.
    pub operation: Operation,
    /// Memory of the artifact, in MB.
    pub memory_mb: u64,
}

/// `Account` is the ledger of one engine; it begins with the engine's first report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Incarnation last reported.
    #[serde(rename = "boot")]
    pub incarnation: EngineIncarnation,
    /// Confirmed copies with their memory in MB.
    pub loaded: Table<(Artifact, Version), u64>,
    /// Intents not known to be finished, oldest first.
    pub open: Vec<OpenIntent>,
    /// Sequence of the last accepted intent.
    pub last: Sequence,
    /// Whether an unload was ever announced.
    pub unloads: bool,
    /// Offset of the last accepted report.
    pub reported: Offset,
    /// Offset of the last accepted record about the engine.
    pub changed: Offset,
}

impl Account {
    /// Tells whether a copy is confirmed and no open intent unloads it.
    pub fn serves(&self, artifact: &Artifact, version: Version) -> bool {
        let key = (artifact.clone(), version);
        let unloads =
            |open: &OpenIntent| open.operation == Operation::Unload(artifact.clone(), version);
        self.loaded.contains(&key) && !self.open.iter().any(unloads)
    }

    /// Tells whether a model or adapter is served in any version.
    pub fn serves_any(&self, artifact: &Artifact) -> bool {
        let copies = self.loaded.keys().filter(|(name, _)| name == artifact);
        copies
            .into_iter()
            .any(|(name, version)| self.serves(name, *version))
    }

    /// Returns the memory that is loaded or promised, in MB; a copy that an open unload names counts.
    pub fn used_mb(&self) -> u64 {
        let loaded = self.loaded.values().copied();
        // A copy that is loaded already takes its memory once, also while its load is still open.
        let promised = self.open.iter().filter(|open| match &open.operation {
            Operation::Load(name, version) => !self.loaded.contains(&(name.clone(), *version)),
            Operation::Unload(..) => false,
        });
        let promised = promised.map(|open| open.memory_mb);
        loaded.chain(promised).fold(0, u64::saturating_add)
    }

    /// Returns the memory of a copy that is loaded or promised, in MB.
    pub(crate) fn memory_of(&self, artifact: &Artifact, version: Version) -> Option<u64> {
        let copy = (artifact.clone(), version);
        let loaded = self.loaded.get(&copy).copied();
        let load = Operation::Load(artifact.clone(), version);
        let open = self.open.iter().find(|open| open.operation == load);
        loaded.or(open.map(|open| open.memory_mb))
    }

    /// Checks that no open order concerns a copy, as the two could arrive in either order.
    pub(crate) fn check_idle(&self, artifact: &Artifact, version: Version) -> Result<(), Reason> {
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

    /// Closes an intent.
    pub(crate) fn settle(&mut self, offset: Offset, settled: &Settled) -> Result<(), Reason> {
        let at = self
            .open
            .iter()
            .position(|o| o.sequence == settled.sequence);
        let at = at.ok_or_else(|| unknown("open order", settled.sequence))?;
        // Another incarnation holds other copies; a report has to say which before anything is settled by it.
        if settled.incarnation != self.incarnation {
            return Err(conflict(format!(
                "the boot on record is {}",
                self.incarnation
            )));
        }
        // A report that was asked for earlier says nothing of the order, or was overtaken.
        let fencing = self.open[at].fencing;
        if settled.as_of <= fencing.max(self.reported) {
            return Err(conflict(format!(
                "the report of {} is too old",
                settled.endpoint
            )));
        }
        self.changed = offset;
        let open = self.open.remove(at);
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
