//! Copies that can serve requests, and the check that protects the last one.

use crate::id::{Artifact, Endpoint, Version};
use crate::state::catalog::Catalog;
use crate::state::ledger::{Account, Ledger};
use crate::state::outcome::Reason;

/// Returns whether a copy can serve: it is confirmed, not being unloaded, and an adapter's base model serves too.
fn is_usable(catalog: &Catalog, account: &Account, artifact: &Artifact, version: Version) -> bool {
    let adapter = catalog.adapters().get(artifact);
    let base_serves = adapter.is_none_or(|adapter| account.serves_any(&adapter.base));
    base_serves && account.serves(artifact, version)
}

/// Returns whether an endpoint is draining.
fn is_draining(catalog: &Catalog, endpoint: &Endpoint) -> bool {
    let spec = catalog.endpoints().get(endpoint);
    spec.is_some_and(|spec| spec.draining)
}

impl Ledger {
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

    /// Returns the version of a model or adapter that serves: the wanted one, or the newest with a usable copy while
    /// the wanted one has none. Copies on draining engines count only if there are no others.
    pub fn serving(&self, catalog: &Catalog, artifact: &Artifact) -> Option<Version> {
        let (wanted, _) = catalog.wanted(artifact)?;
        let available = self.newest(catalog, artifact, wanted, false);
        available.or_else(|| self.newest(catalog, artifact, wanted, true))
    }

    /// Returns the wanted version, or else the newest, among usable copies on draining engines or on all others.
    fn newest(
        &self,
        catalog: &Catalog,
        artifact: &Artifact,
        wanted: Version,
        draining: bool,
    ) -> Option<Version> {
        let accounts = self.accounts.iter();
        let accounts = accounts.filter(|(endpoint, _)| is_draining(catalog, endpoint) == draining);
        let versions = accounts.flat_map(|(_, account)| {
            let copies = account.loaded.keys().filter(|(name, _)| name == artifact);
            let versions = copies.map(|(_, version)| *version);
            versions.filter(|version| is_usable(catalog, account, artifact, *version))
        });
        versions.max_by_key(|version| (*version == wanted, *version))
    }

    /// Returns whether another engine that is not draining has a usable copy.
    fn has_other_copy(
        &self,
        catalog: &Catalog,
        endpoint: &Endpoint,
        artifact: &Artifact,
        version: Version,
    ) -> bool {
        let mut others = self.accounts.iter().filter(|(other, _)| *other != endpoint);
        others.any(|(other, account)| {
            !is_draining(catalog, other) && is_usable(catalog, account, artifact, version)
        })
    }

    /// Checks that a copy is not the last one of the serving version.
    fn check_other_copy(
        &self,
        catalog: &Catalog,
        endpoint: &Endpoint,
        artifact: &Artifact,
        version: Version,
    ) -> Result<(), Reason> {
        let serves = self.serving(catalog, artifact) == Some(version);
        if serves && !self.has_other_copy(catalog, endpoint, artifact, version) {
            return Err(Reason::LastCopy {
                what: artifact.to_string(),
            });
        }
        Ok(())
    }

    /// Checks that neither a copy nor the adapters that depend on it at this engine are the last ones that serve.
    pub(super) fn check_last_copy(
        &self,
        catalog: &Catalog,
        endpoint: &Endpoint,
        artifact: &Artifact,
        version: Version,
    ) -> Result<(), Reason> {
        self.check_other_copy(catalog, endpoint, artifact, version)?;
        let Some(account) = self.accounts.get(endpoint) else {
            return Ok(());
        };
        // The adapters can still run on another version of the base model at this engine.
        let mut bases = account.loaded.keys().filter(|(name, _)| name == artifact);
        if bases.any(|(_, other)| *other != version && account.serves(artifact, *other)) {
            return Ok(());
        }
        for (name, version) in account.loaded.keys() {
            let adapter = catalog.adapters().get(name);
            if adapter.is_some_and(|adapter| adapter.base == *artifact) {
                self.check_other_copy(catalog, endpoint, name, *version)?;
            }
        }
        Ok(())
    }

    /// Checks that an endpoint holds no last copy of a serving version.
    pub(crate) fn check_removal(
        &self,
        catalog: &Catalog,
        endpoint: &Endpoint,
    ) -> Result<(), Reason> {
        let account = self.accounts.get(endpoint);
        let copies = account.into_iter().flat_map(|a| a.loaded.keys());
        for (name, version) in copies {
            self.check_other_copy(catalog, endpoint, name, *version)?;
        }
        Ok(())
    }
}
