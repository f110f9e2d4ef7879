//! Changes of workspaces and keys.

use crate::id::{KeyName, Offset, Workspace};
use crate::record::{Key, WorkspaceSpec};
use crate::state::catalog::Catalog;
use crate::state::catalog::change::{check_range, sorted};
use crate::state::outcome::{Reason, unknown};

/// Highest rate, in tokens per second.
const RATE_MAX: u64 = 1 << 40;

/// Highest burst, in tokens.
const BURST_MAX: u64 = 1 << 40;

impl Catalog {
    /// Creates or changes a workspace; an existing one keeps the offset of its creation.
    pub(super) fn set_workspace(
        &mut self,
        offset: Offset,
        name: &Workspace,
        spec: &WorkspaceSpec,
    ) -> Result<(), Reason> {
        check_range("rate", spec.rate, 1..=RATE_MAX)?;
        check_range("burst", spec.burst, 1..=BURST_MAX)?;
        for artifact in &spec.artifacts {
            self.wanted(artifact)
                .ok_or_else(|| unknown("model or adapter", artifact))?;
        }
        for service in &spec.services {
            self.services
                .get(service)
                .ok_or_else(|| unknown("service", service))?;
        }
        let spec = WorkspaceSpec {
            artifacts: sorted(&spec.artifacts),
            services: sorted(&spec.services),
            ..*spec
        };
        let created = self
            .workspaces
            .get(name)
            .map_or(offset, |(created, _)| *created);
        self.workspaces.insert(name.clone(), (created, spec));
        Ok(())
    }

    /// Removes a workspace and its keys.
    pub(super) fn remove_workspace(&mut self, name: &Workspace) -> Result<(), Reason> {
        let removed = self.workspaces.remove(name);
        removed.ok_or_else(|| unknown("workspace", name))?;
        self.keys.withdraw_all(name);
        Ok(())
    }

    /// Adds a key if its workspace exists.
    pub(super) fn add_key(&mut self, name: &KeyName, key: &Key) -> Result<(), Reason> {
        let workspace = &key.workspace;
        if !self.workspaces.contains(workspace) {
            return Err(unknown("workspace", workspace));
        }
        self.keys.add(name, key)
    }
}
