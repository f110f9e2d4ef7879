//! Changes of the configuration: each is checked whole before it takes effect.

use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::id::Offset;
use crate::record::Change;
use crate::state::catalog::Catalog;
use crate::state::ledger::Ledger;
use crate::state::outcome::{Reason, invalid};

/// Checks that a number lies in its range.
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

/// Returns the names sorted and without repeats.
pub(crate) fn sorted<T: Ord + Clone>(names: &[T]) -> Vec<T> {
    let mut names = names.to_vec();
    names.sort_unstable();
    names.dedup();
    names
}

impl Catalog {
    /// Applies a change, or leaves everything as it is and says why.
    ///
    /// `RetireVm` concerns the roster and changes nothing here.
    pub(crate) fn change(
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
