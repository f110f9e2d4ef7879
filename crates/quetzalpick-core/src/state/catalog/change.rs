//! Dispatch of configuration changes; each is fully validated before it takes effect.

use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::id::Offset;
use crate::record::Change;
use crate::state::catalog::Catalog;
use crate::state::ledger::Ledger;
use crate::state::outcome::{Reason, invalid};

/// Checks that a value is in its range.
pub(crate) fn check_range<T: PartialOrd + Display>(
    what: &str,
    value: T,
    range: RangeInclusive<T>,
) -> Result<(), Reason> {
    if range.contains(&value) {
        return Ok(());
    }
    let (least, most) = range.into_inner();
    Err(invalid(format!("{what} is {value}, not {least} to {most}")))
}

/// Returns the names sorted and without duplicates.
pub(crate) fn sorted<T: Ord + Clone>(names: &[T]) -> Vec<T> {
    let mut names = names.to_vec();
    names.sort_unstable();
    names.dedup();
    names
}

impl Catalog {
    /// Applies a change, or returns the reason and leaves the configuration unchanged.
    ///
    /// `RetireVm` concerns the roster only and has no effect here.
    pub(crate) fn apply_change(
        &mut self,
        offset: Offset,
        change: &Change,
        ledger: &Ledger,
    ) -> Result<(), Reason> {
        match change {
            Change::SetWorkspace(name, spec) => self.set_workspace(offset, name, spec),
            Change::RemoveWorkspace(name) => self.remove_workspace(name),
            Change::AddKey(name, key) => self.add_key(name, key),
            Change::WithdrawKey(name) => self.keys.withdraw(name),
            Change::SetModel(name, model) => self.set_model(name, model, ledger),
            Change::SetAdapter(name, adapter) => self.set_adapter(name, adapter, ledger),
            Change::RemoveArtifact(name) => self.remove_artifact(name),
            Change::SetPlace(name, place) => self.set_place(name, place),
            Change::SetEndpoint(name, spec) => self.set_endpoint(name, spec, ledger),
            Change::RemoveEndpoint(name) => self.remove_endpoint(name, ledger),
            Change::Drain(name, draining) => self.drain(name, *draining),
            Change::SetService(name, spec) => self.set_service(name, spec),
            Change::RemoveService(name) => self.remove_service(name),
            Change::RetireVm(_) => Ok(()),
        }
    }
}
