//! An index from artifacts and services to the endpoints that may serve them.

use crate::id::{Artifact, Endpoint, Offset, Revision, Service, Version};
use crate::record::{EndpointKind, EndpointSpec};
use crate::state::{Account, State};
use crate::table::Table;

/// `IndexedEngine` holds the indexed data of one engine.
#[derive(Debug, Clone, Default)]
struct IndexedEngine {
    /// Offset of the last record about the engine.
    changed: Offset,
    /// Artifacts that it has a copy of, in any version; sorted.
    artifacts: Vec<Artifact>,
}

/// `ReplicaIndex` finds the endpoints that serve an artifact or a service without a scan of all endpoints.
///
/// It only yields candidates: versions, open unloads and removals are checked against the current state. An index that is behind
/// the state may therefore miss a new replica but never returns a former one.
#[derive(Debug, Clone, Default)]
pub struct ReplicaIndex {
    /// First offset that is not indexed.
    next: Offset,
    /// Revision of the configuration from which `instances` was built.
    revision: Revision,
    engines: Table<Endpoint, IndexedEngine>,
    /// Engines with a confirmed copy of any version, sorted.
    copies: Table<Artifact, Vec<Endpoint>>,
    /// Instances of each service, sorted.
    instances: Table<Service, Vec<Endpoint>>,
}

impl ReplicaIndex {
    /// Returns true if the state has applied entries that are not indexed.
    pub fn is_behind(&self, state: &State) -> bool {
        self.next != state.next()
    }

    /// Updates the index from the state; an engine without a new record costs one comparison.
    pub fn refresh(&mut self, state: &State) {
        if !self.is_behind(state) {
            return;
        }
        self.next = state.next();
        self.forget_closed(state);
        for (endpoint, account) in state.ledger().accounts().iter() {
            self.record(endpoint, account);
        }
        if self.revision != state.revision() {
            self.revision = state.revision();
            self.instances = instances(state);
        }
    }

    /// Returns the engines that serve all wanted versions or, if there are none, those that serve any versions of the artifacts.
    pub fn engines<'a>(
        &self,
        state: &'a State,
        copies: &[(Artifact, Version)],
    ) -> Vec<(&'a Endpoint, &'a EndpointSpec)> {
        let found = self.select(state, copies, |account| serves_wanted(account, copies));
        if !found.is_empty() {
            return found;
        }
        self.select(state, copies, |account| {
            copies.iter().all(|(name, _)| account.serves_any(name))
        })
    }

    /// Counts the engines that serve all wanted versions.
    pub fn count_wanted(&self, state: &State, copies: &[(Artifact, Version)]) -> usize {
        let accounts = self.accounts(state, copies);
        accounts
            .filter(|(_, account)| serves_wanted(account, copies))
            .count()
    }

    /// Returns the instances of a service.
    pub fn instances<'a>(
        &self,
        state: &'a State,
        service: &Service,
    ) -> Vec<(&'a Endpoint, &'a EndpointSpec)> {
        let named = self.instances.get(service).map_or(&[][..], Vec::as_slice);
        let endpoints = state.catalog().endpoints();
        let rows = named
            .iter()
            .filter_map(|name| endpoints.get_key_value(name));
        rows.filter(|(_, spec)| service_of(spec) == Some(service))
            .collect()
    }

    /// Returns the holders of the artifact with the fewest holders; no other engine can serve all the copies.
    fn fewest(&self, copies: &[(Artifact, Version)]) -> &[Endpoint] {
        let holders = |(name, _): &(Artifact, Version)| {
            let holders = self.copies.get(name);
            holders.map_or(&[][..], Vec::as_slice)
        };
        let holders = copies.iter().map(holders);
        holders
            .min_by_key(|endpoints| endpoints.len())
            .unwrap_or_default()
    }

    /// Returns the possible holders whose account satisfies a predicate.
    fn select<'a>(
        &self,
        state: &'a State,
        copies: &[(Artifact, Version)],
        serves: impl Fn(&Account) -> bool,
    ) -> Vec<(&'a Endpoint, &'a EndpointSpec)> {
        let endpoints = state.catalog().endpoints();
        let accounts = self.accounts(state, copies);
        let serving = accounts.filter(|(_, account)| serves(account));
        serving
            .filter_map(|(name, _)| endpoints.get_key_value(name))
            .collect()
    }

    /// Returns the accounts of all engines that may serve all copies, in order.
    fn accounts<'a>(
        &self,
        state: &'a State,
        copies: &[(Artifact, Version)],
    ) -> impl Iterator<Item = (&'a Endpoint, &'a Account)> {
        let accounts = state.ledger().accounts();
        let holders = self.fewest(copies);
        // A scan of all accounts costs less than a lookup of more than half of them.
        let scans_all = holders.len() > accounts.len() / 2;
        let scanned = scans_all.then(|| accounts.iter()).into_iter().flatten();
        let listed = if scans_all { &[] } else { holders };
        let looked_up = listed.iter();
        scanned.chain(looked_up.filter_map(|name| accounts.get_key_value(name)))
    }

    /// Indexes the account of an engine if there is a new record about it.
    fn record(&mut self, endpoint: &Endpoint, account: &Account) {
        let indexed = self.engines.get(endpoint);
        if indexed.is_some_and(|indexed| indexed.changed == account.changed) {
            return;
        }
        // The versions of an artifact are adjacent.
        let mut artifacts: Vec<_> = account.loaded.keys().map(|(name, _)| name).collect();
        artifacts.dedup();
        let artifacts: Vec<_> = artifacts.into_iter().cloned().collect();
        let changed = account.changed;
        let indexed = IndexedEngine { changed, artifacts };
        let former = self.engines.insert(endpoint.clone(), indexed.clone());
        let former = former.unwrap_or_default().artifacts;
        let removed = former
            .iter()
            .filter(|name| indexed.artifacts.binary_search(name).is_err());
        removed.for_each(|name| self.remove(name, endpoint));
        let added = indexed.artifacts.iter();
        added
            .filter(|name| former.binary_search(name).is_err())
            .for_each(|name| self.add(name, endpoint));
    }

    /// Removes the engines whose account was closed.
    fn forget_closed(&mut self, state: &State) {
        let accounts = state.ledger().accounts();
        let names = self.engines.keys();
        let closed = names.filter(|name| !accounts.contains(*name)).cloned();
        for endpoint in closed.collect::<Vec<_>>() {
            let indexed = self.engines.remove(&endpoint).unwrap_or_default();
            let artifacts = indexed.artifacts.iter();
            artifacts.for_each(|name| self.remove(name, &endpoint));
        }
    }

    /// Adds a holder of an artifact.
    fn add(&mut self, artifact: &Artifact, endpoint: &Endpoint) {
        let holders = self.copies.get_or_insert_with(artifact.clone(), Vec::new);
        if let Err(index) = holders.binary_search(endpoint) {
            holders.insert(index, endpoint.clone());
        }
    }

    /// Removes a holder of an artifact.
    fn remove(&mut self, artifact: &Artifact, endpoint: &Endpoint) {
        let Some(holders) = self.copies.get_mut(artifact) else {
            return;
        };
        if let Ok(index) = holders.binary_search(endpoint) {
            holders.remove(index);
        }
        if holders.is_empty() {
            self.copies.remove(artifact);
        }
    }
}

/// Returns true if an engine serves the wanted versions of all copies.
fn serves_wanted(account: &Account, copies: &[(Artifact, Version)]) -> bool {
    let mut copies = copies.iter();
    copies.all(|(name, version)| account.serves(name, *version))
}

/// Returns the service that an endpoint is an instance of.
fn service_of(spec: &EndpointSpec) -> Option<&Service> {
    match &spec.kind {
        EndpointKind::Service { service } => Some(service),
        EndpointKind::Engine { .. } => None,
    }
}

/// Lists the instances of each service.
fn instances(state: &State) -> Table<Service, Vec<Endpoint>> {
    let mut instances = Table::default();
    for (name, spec) in state.catalog().endpoints().iter() {
        if let Some(service) = service_of(spec) {
            let named = instances.get_or_insert_with(service.clone(), Vec::new);
            named.push(name.clone());
        }
    }
    instances
}
