//! The ledger: what each engine holds and has been promised.

use serde::{Deserialize, Serialize};

use crate::id::{Artifact, Boot, Endpoint, Offset, Sequence, Version};
use crate::record::Operation;
use crate::table::Table;

/// `Open` is an intent not known to be finished; its order may arrive at any time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Place in the endpoint's order.
    pub sequence: Sequence,
    /// Offset of the intent, the order's fencing number.
    pub fencing: Offset,
    /// The order.
    pub operation: Operation,
    /// Memory of the artifact, in MB.
    pub memory_mb: u64,
}

/// `Account` is the ledger of one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Boot last reported.
    pub boot: Boot,
    /// Confirmed copies with their memory in MB.
    pub loaded: Table<(Artifact, Version), u64>,
    /// Intents not known to be finished, oldest first.
    pub open: Vec<Open>,
    /// Sequence of the last accepted intent.
    pub last: Sequence,
}

/// `Ledger` is the aggregate of accelerator memory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Accounts by engine.
    pub(crate) accounts: Table<Endpoint, Account>,
}

impl Ledger {
    /// Returns the accounts by engine.
    pub fn accounts(&self) -> &Table<Endpoint, Account> {
        &self.accounts
    }

    /// Iterates over the engines with a confirmed copy that no open intent unloads.
    pub fn copies<'a>(
        &'a self,
        artifact: &'a Artifact,
        version: Version,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.accounts
            .iter()
            .filter(move |(_, account)| account.serves(artifact, version))
            .map(|(endpoint, _)| endpoint)
    }
}

impl Account {
    /// Tells whether a copy is confirmed and no open intent unloads it.
    pub fn serves(&self, artifact: &Artifact, version: Version) -> bool {
        let key = (artifact.clone(), version);
        let unloads = |open: &Open| open.operation == Operation::Unload(artifact.clone(), version);
        self.loaded.contains(&key) && !self.open.iter().any(unloads)
    }
}
