//! The catalog: the configuration in force.

use serde::{Deserialize, Serialize};

use crate::id::{Artifact, Endpoint, KeyName, Offset, Service, Workspace};
use crate::record::{Adapter, EndpointSpec, Key, Model, Place, ServiceSpec, WorkspaceSpec};
use crate::table::Table;

/// `Catalog` is the aggregate of all configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Workspaces with the offset of their creation.
    pub(crate) workspaces: Table<Workspace, (Offset, WorkspaceSpec)>,
    /// Keys by name.
    pub(crate) keys: Table<KeyName, Key>,
    /// Models by name.
    pub(crate) models: Table<Artifact, Model>,
    /// Adapters by name.
    pub(crate) adapters: Table<Artifact, Adapter>,
    /// Bounds of copies, where operators set them.
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
        &self.keys
    }

    /// Returns the models by name.
    pub fn models(&self) -> &Table<Artifact, Model> {
        &self.models
    }

    /// Returns the adapters by name.
    pub fn adapters(&self) -> &Table<Artifact, Adapter> {
        &self.adapters
    }

    /// Returns the bounds of copies that operators set.
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
}
