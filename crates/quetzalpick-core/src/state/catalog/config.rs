//! Current configuration and its lookups.

use serde::{Deserialize, Serialize};

use crate::id::{Artifact, Endpoint, KeyName, Offset, Service, Version, Workspace};
use crate::record::{
    Adapter, Digest, EndpointSpec, Key, Model, Place, Route, ServiceSpec, WorkspaceSpec,
};
use crate::state::catalog::key::Keys;
use crate::state::catalog::path;
use crate::table::Table;

/// `Target` describes the model and adapter that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target<'a> {
    /// The model to run.
    pub model: &'a Artifact,
    /// Wanted version of the model.
    pub model_version: Version,
    /// The requested adapter, if any, with its wanted version.
    pub adapter: Option<(&'a Artifact, Version)>,
    /// Output tokens charged if a request states no limit.
    pub max_output: u32,
}

/// `Catalog` holds the current configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Workspaces with the offset of their creation.
    pub(crate) workspaces: Table<Workspace, (Offset, WorkspaceSpec)>,
    /// Keys by name.
    pub(crate) keys: Keys,
    /// Models by name.
    pub(crate) models: Table<Artifact, Model>,
    /// Adapters by name.
    pub(crate) adapters: Table<Artifact, Adapter>,
    /// Limits and pinned endpoints of copies, where operators set them.
    pub(crate) places: Table<Artifact, Place>,
    /// Endpoints by name.
    pub(crate) endpoints: Table<Endpoint, EndpointSpec>,
    /// Services by name.
    pub(crate) services: Table<Service, ServiceSpec>,
}

impl Catalog {
    /// Returns the workspaces, each with the offset of its creation.
    pub fn workspaces(&self) -> &Table<Workspace, (Offset, WorkspaceSpec)> {
        &self.workspaces
    }

    /// Returns the keys by name.
    pub fn keys(&self) -> &Table<KeyName, Key> {
        self.keys.by_name()
    }

    /// Returns the models by name.
    pub fn models(&self) -> &Table<Artifact, Model> {
        &self.models
    }

    /// Returns the adapters by name.
    pub fn adapters(&self) -> &Table<Artifact, Adapter> {
        &self.adapters
    }

    /// Returns the limits and pinned endpoints of copies that operators set.
    pub fn places(&self) -> &Table<Artifact, Place> {
        &self.places
    }

    /// Returns the endpoints by name.
    pub fn endpoints(&self) -> &Table<Endpoint, EndpointSpec> {
        &self.endpoints
    }

    /// Returns the services by name.
    pub fn services(&self) -> &Table<Service, ServiceSpec> {
        &self.services
    }

    /// Resolves a requested name to a model and possibly an adapter, `None` if neither has that name.
    pub fn resolve(&self, artifact: &Artifact) -> Option<Target<'_>> {
        let (adapter, base) = match self.adapters.get_key_value(artifact) {
            Some((name, adapter)) => (Some((name, adapter.version)), &adapter.base),
            None => (None, artifact),
        };
        let (name, model) = self.models.get_key_value(base)?;
        Some(Target {
            model: name,
            model_version: model.version,
            adapter,
            max_output: model.max_output,
        })
    }

    /// Returns the key with a digest.
    pub fn key(&self, digest: &Digest) -> Option<(&KeyName, &Key)> {
        self.keys.find(digest)
    }

    /// Returns the route of a call, `None` if no route matches or the path is not in plain form; such a call needs a
    /// key and is not idempotent.
    pub fn route(&self, service: &Service, method: &str, path: &str) -> Option<&Route> {
        path::find(&self.services.get(service)?.routes, method, path)
    }

    /// Returns the wanted version of a model or adapter and the memory of one copy in MB.
    pub fn wanted(&self, artifact: &Artifact) -> Option<(Version, u64)> {
        let model = self.models.get(artifact);
        let model = model.map(|model| (model.version, model.memory_mb));
        let adapter = self.adapters.get(artifact);
        model.or(adapter.map(|adapter| (adapter.version, adapter.memory_mb)))
    }

    /// Returns whether a workspace may use a model or adapter.
    pub fn allows(&self, workspace: &Workspace, artifact: &Artifact) -> bool {
        let found = self.workspaces.get(workspace);
        found.is_some_and(|(_, spec)| {
            spec.artifacts.is_empty() || spec.artifacts.binary_search(artifact).is_ok()
        })
    }

    /// Returns whether a workspace may use a service.
    pub fn allows_service(&self, workspace: &Workspace, service: &Service) -> bool {
        let found = self.workspaces.get(workspace);
        found.is_some_and(|(_, spec)| {
            spec.services.is_empty() || spec.services.binary_search(service).is_ok()
        })
    }
}
