//! Changes of models, adapters and the limits of their copies.

use crate::id::{Artifact, Version};
use crate::record::{Adapter, EndpointKind, Model, Place};
use crate::state::catalog::Catalog;
use crate::state::catalog::change::{check_range, sorted};
use crate::state::ledger::Ledger;
use crate::state::outcome::{Reason, conflict, invalid, unknown};

/// Most memory of one copy or one engine, in MB.
pub(super) const MEMORY_MAX_MB: u64 = 1 << 32;

/// Largest default number of output tokens.
const OUTPUT_MAX: u32 = 1 << 24;

/// Most copies of a model or adapter.
const COPIES_MAX: u32 = 1 << 16;

impl Catalog {
    /// Creates or changes a model.
    pub(super) fn set_model(
        &mut self,
        name: &Artifact,
        model: &Model,
        ledger: &Ledger,
    ) -> Result<(), Reason> {
        check_range("max_output", model.max_output, 1..=OUTPUT_MAX)?;
        if self.adapters.contains(name) {
            return Err(conflict(format!("{name} is an adapter")));
        }
        self.check_memory(name, model.version, model.memory_mb, ledger)?;
        self.models.insert(name.clone(), model.clone());
        Ok(())
    }

    /// Creates or changes an adapter.
    pub(super) fn set_adapter(
        &mut self,
        name: &Artifact,
        adapter: &Adapter,
        ledger: &Ledger,
    ) -> Result<(), Reason> {
        if self.models.contains(name) {
            return Err(conflict(format!("{name} is a model")));
        }
        if !self.models.contains(&adapter.base) {
            return Err(unknown("model", &adapter.base));
        }
        let former = self.adapters.get(name);
        let rebased = former
            .is_some_and(|former| former.version == adapter.version && former.base != adapter.base);
        if rebased {
            return Err(invalid("another base needs another version"));
        }
        self.check_memory(name, adapter.version, adapter.memory_mb, ledger)?;
        self.adapters.insert(name.clone(), adapter.clone());
        Ok(())
    }

    /// Checks that all copies of one version need the same memory, including loaded copies and open loads.
    fn check_memory(
        &self,
        name: &Artifact,
        version: Version,
        memory_mb: u64,
        ledger: &Ledger,
    ) -> Result<(), Reason> {
        check_range("memory_mb", memory_mb, 1..=MEMORY_MAX_MB)?;
        let wanted = self.wanted(name).filter(|(former, _)| *former == version);
        let recorded_mb = wanted.map(|(_, memory_mb)| memory_mb);
        let recorded_mb = recorded_mb.or_else(|| ledger.memory_of(name, version));
        if recorded_mb.is_some_and(|recorded_mb| recorded_mb != memory_mb) {
            return Err(invalid("another memory_mb needs another version"));
        }
        Ok(())
    }

    /// Removes a model or an adapter that no adapter or workspace refers to.
    pub(super) fn remove_artifact(&mut self, name: &Artifact) -> Result<(), Reason> {
        if self.wanted(name).is_none() {
            return Err(unknown("model or adapter", name));
        }
        let adapter = self.adapters.iter().find(|(_, a)| a.base == *name);
        if let Some((adapter, _)) = adapter {
            return Err(conflict(format!("adapter {adapter} is based on {name}")));
        }
        // An empty list gives access to everything, so the operator has to change the list before its last name is removed.
        let lists_name = |artifacts: &[Artifact]| artifacts.binary_search(name).is_ok();
        let mut workspaces = self.workspaces.iter();
        if let Some((workspace, _)) = workspaces.find(|(_, (_, spec))| lists_name(&spec.artifacts))
        {
            return Err(conflict(format!("workspace {workspace} lists {name}")));
        }
        self.models.remove(name);
        self.adapters.remove(name);
        self.places.remove(name);
        Ok(())
    }

    /// Sets the limits and pinned endpoints of the copies of a model or adapter.
    pub(super) fn set_place(&mut self, name: &Artifact, place: &Place) -> Result<(), Reason> {
        if self.wanted(name).is_none() {
            return Err(unknown("model or adapter", name));
        }
        check_range("min", place.min, 1..=COPIES_MAX)?;
        check_range("max", place.max, place.min..=COPIES_MAX)?;
        let pinned = sorted(&place.pinned);
        if pinned.len() > place.max as usize {
            return Err(invalid("more endpoints are pinned than max"));
        }
        for endpoint in &pinned {
            let spec = self.endpoints.get(endpoint);
            let spec = spec.ok_or_else(|| unknown("endpoint", endpoint))?;
            if !matches!(spec.kind, EndpointKind::Engine { .. }) {
                return Err(conflict(format!("endpoint {endpoint} is not an engine")));
            }
        }
        let place = Place {
            pinned,
            ..place.clone()
        };
        self.places.insert(name.clone(), place);
        Ok(())
    }
}
