//! Accounts of all engines, and validation of the placement records that change them.

use serde::{Deserialize, Serialize};

use crate::id::{Artifact, Endpoint, Offset, Version};
use crate::record::{EndpointKind, Intent, Operation, Report, Settled};
use crate::state::catalog::Catalog;
use crate::state::ledger::{Account, OpenIntent};
use crate::state::outcome::{Reason, conflict, unknown};
use crate::table::Table;

/// `Ledger` tracks the accelerator memory of all engines and prevents overcommitment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Accounts by engine.
    pub(super) accounts: Table<Endpoint, Account>,
    /// Offset at which an account was last closed.
    closed: Offset,
}

/// Returns the memory of an engine in MB and whether it is draining.
fn engine_capacity(catalog: &Catalog, endpoint: &Endpoint) -> Result<(u64, bool), Reason> {
    let spec = catalog.endpoints().get(endpoint);
    let spec = spec.ok_or_else(|| unknown("endpoint", endpoint))?;
    match spec.kind {
        EndpointKind::Engine { memory_mb, .. } => Ok((memory_mb, spec.draining)),
        EndpointKind::Service { .. } => {
            Err(conflict(format!("endpoint {endpoint} is not an engine")))
        }
    }
}

impl Ledger {
    /// Returns the accounts by engine.
    pub fn accounts(&self) -> &Table<Endpoint, Account> {
        &self.accounts
    }

    /// Returns the memory of loaded copies and open loads of an engine, in MB.
    pub fn used_mb(&self, endpoint: &Endpoint) -> u64 {
        self.accounts.get(endpoint).map_or(0, Account::used_mb)
    }

    /// Returns whether any order can ever have been sent to an engine; if so, one may still arrive.
    ///
    /// An order needs an accepted intent, which needs an account; a closed account may have had intents.
    pub fn was_ordered(&self, endpoint: &Endpoint) -> bool {
        match self.accounts.get(endpoint) {
            Some(account) => account.last_sequence.0 > 0,
            None => self.closed.0 > 0,
        }
    }

    /// Returns the memory of one copy of a version, in MB, if any engine has a loaded copy or an open load of it.
    pub(crate) fn memory_of(&self, artifact: &Artifact, version: Version) -> Option<u64> {
        let mut accounts = self.accounts.values();
        accounts.find_map(|account| account.memory_of(artifact, version))
    }

    /// Records an intent if its order can neither overcommit memory nor remove a last copy.
    pub(crate) fn record_intent(
        &mut self,
        offset: Offset,
        intent: &Intent,
        catalog: &Catalog,
    ) -> Result<(), Reason> {
        let endpoint = &intent.endpoint;
        engine_capacity(catalog, endpoint)?;
        let account = self.accounts.get(endpoint);
        let account =
            account.ok_or_else(|| conflict(format!("endpoint {endpoint} was not reported yet")))?;
        let next = account.last_sequence.0 + 1;
        if intent.sequence.0 != next {
            return Err(conflict(format!("the next order of {endpoint} is {next}")));
        }
        let memory_mb = match &intent.operation {
            Operation::Load(name, version) => {
                self.check_load(account, endpoint, name, *version, catalog)?
            }
            Operation::Unload(name, version) => {
                self.check_unload(account, endpoint, name, *version, catalog)?
            }
        };
        let open = OpenIntent {
            sequence: intent.sequence,
            fencing: offset,
            operation: intent.operation.clone(),
            memory_mb,
        };
        let account = self
            .accounts
            .get_or_insert_with(endpoint.clone(), Account::default);
        account.last_sequence = intent.sequence;
        account.has_unload_intent |= matches!(intent.operation, Operation::Unload(..));
        account.changed = offset;
        account.open.push(open);
        Ok(())
    }

    /// Validates a load and returns the memory it needs, in MB.
    fn check_load(
        &self,
        account: &Account,
        endpoint: &Endpoint,
        name: &Artifact,
        version: Version,
        catalog: &Catalog,
    ) -> Result<u64, Reason> {
        let wanted = catalog.wanted(name);
        let (wanted, needed_mb) = wanted.ok_or_else(|| unknown("model or adapter", name))?;
        if version != wanted {
            return Err(conflict(format!("{name} is wanted in version {wanted}")));
        }
        account.check_no_open_intent(name, version)?;
        if account.serves(name, version) {
            return Err(conflict(format!("{endpoint} holds {name} already")));
        }
        let (memory_mb, draining) = engine_capacity(catalog, endpoint)?;
        if draining {
            return Err(conflict(format!("endpoint {endpoint} is draining")));
        }
        let base = catalog.adapters().get(name).map(|adapter| &adapter.base);
        if let Some(base) = base.filter(|base| !account.serves_any(base)) {
            return Err(conflict(format!("{endpoint} has no copy of {base}")));
        }
        let free_mb = memory_mb.saturating_sub(account.used_mb());
        if needed_mb > free_mb {
            return Err(Reason::Memory { needed_mb, free_mb });
        }
        Ok(needed_mb)
    }

    /// Validates an unload and returns the memory of the copy, in MB.
    fn check_unload(
        &self,
        account: &Account,
        endpoint: &Endpoint,
        name: &Artifact,
        version: Version,
        catalog: &Catalog,
    ) -> Result<u64, Reason> {
        let memory_mb = account.loaded.get(&(name.clone(), version));
        let memory_mb = memory_mb.ok_or_else(|| unknown("copy of", name))?;
        account.check_no_open_intent(name, version)?;
        self.check_last_copy(catalog, endpoint, name, version)?;
        Ok(*memory_mb)
    }

    /// Settles an open intent.
    pub(crate) fn settle(&mut self, offset: Offset, settled: &Settled) -> Result<(), Reason> {
        let account = self.accounts.get_mut(&settled.endpoint);
        let account = account.ok_or_else(|| unknown("endpoint", &settled.endpoint))?;
        account.settle(offset, settled)
    }

    /// Replaces the recorded copies of an engine; open intents stay.
    pub(crate) fn report(
        &mut self,
        offset: Offset,
        report: &Report,
        catalog: &Catalog,
    ) -> Result<(), Reason> {
        let endpoint = &report.endpoint;
        let (memory_mb, _) = engine_capacity(catalog, endpoint)?;
        // An older report would undo records that were accepted after it was requested.
        let former = self.accounts.get(endpoint);
        let changed = former.map_or(self.closed, |account| account.changed);
        if report.as_of <= changed {
            return Err(conflict(format!("the report of {endpoint} is too old")));
        }
        let copy_memory = |(name, version): &(Artifact, Version)| {
            let wanted = catalog.wanted(name).filter(|(wanted, _)| wanted == version);
            let recorded_mb = self.memory_of(name, *version);
            let recorded_mb = recorded_mb.or(wanted.map(|(_, memory_mb)| memory_mb));
            // A copy of unknown size counts as the engine's full memory until it is unloaded.
            ((name.clone(), *version), recorded_mb.unwrap_or(memory_mb))
        };
        let loaded = report.loaded.iter().map(copy_memory).collect();
        let account = self
            .accounts
            .get_or_insert_with(endpoint.clone(), Account::default);
        account.reported = offset;
        account.changed = offset;
        account.incarnation = report.incarnation;
        account.loaded = loaded;
        Ok(())
    }

    /// Removes the account of an engine that was removed or has a new address.
    pub(crate) fn close_account(&mut self, offset: Offset, endpoint: &Endpoint) {
        self.accounts.remove(endpoint);
        self.closed = offset;
    }
}
