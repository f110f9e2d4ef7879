//! Configuration: workspaces, keys, models, adapters, endpoints, services and routes.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::id::{Artifact, Domain, Endpoint, KeyName, Service, Version, Vm, Workspace};

/// `Digest` holds the SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(#[serde(with = "crate::record::byte_string")] pub [u8; 32]);

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02x}{:02x}..", self.0[0], self.0[1])
    }
}

/// `WorkspaceSpec` holds the configuration of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceSpec {
    /// Tokens per second across all gates, at least 1.
    pub rate: u64,
    /// Tokens that may be spent at once across all gates, at least 1.
    pub burst: u64,
    /// Models and adapters that its keys give access to, sorted; empty for all.
    pub artifacts: Vec<Artifact>,
    /// Services that its keys give access to, sorted; empty for all.
    pub services: Vec<Service>,
}

/// `Key` maps the digest of a caller's key to a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The workspace whose requests the key authenticates.
    pub workspace: Workspace,
    /// Digest of the key.
    pub digest: Digest,
}

/// `Model` holds the configuration of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Wanted version.
    pub version: Version,
    /// Accelerator memory of one copy, in MB.
    pub memory_mb: u64,
    /// Output tokens charged if a request states no limit.
    pub max_output: u32,
}

/// `Adapter` holds the configuration of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Model that the adapter is applied to.
    pub base: Artifact,
    /// Wanted version.
    pub version: Version,
    /// Accelerator memory of one copy, in MB.
    pub memory_mb: u64,
}

/// `EndpointKind` distinguishes model engines from instances of plain services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// Number of accelerators.
        accelerators: u32,
        /// Accelerator memory for models and adapters, in MB.
        memory_mb: u64,
        /// Whether the engine refuses orders with a fencing number older than the newest it has received.
        checks_fencing: bool,
    },
    /// An instance of a plain service.
    Service {
        /// The service that the instance runs.
        service: Service,
    },
}

/// `EndpointSpec` holds the configuration of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// IP address and port, such as `127.0.0.1:9000`.
    pub address: String,
    /// Failure domain of the endpoint.
    pub domain: Domain,
    /// Kind of the endpoint, with its capacity or service.
    pub kind: EndpointKind,
    /// Whether the endpoint is draining and receives no new work.
    pub draining: bool,
}

/// `ServiceSpec` holds the configuration of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ServiceSpec {
    /// Tokens charged for one call.
    pub charge: u64,
    /// Routes, the longest matching prefix wins; a call that matches none needs a key and is not idempotent.
    pub routes: Vec<Route>,
}

/// `Route` states how calls under a path prefix of a service are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// HTTP method, or `*` for all.
    pub method: String,
    /// Path prefix, beginning with `/`.
    pub prefix: String,
    /// Whether calls are accepted without a key.
    pub open: bool,
    /// Whether a call may be sent more than once.
    pub idempotent: bool,
}

/// `Place` limits the number of copies of a model or adapter and pins copies to endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Minimum number of copies, at least 1.
    pub min: u32,
    /// Maximum number of copies, at least `min`.
    pub max: u32,
    /// Endpoints that must hold a copy, sorted.
    pub pinned: Vec<Endpoint>,
}

/// `Change` modifies one object of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// Creates or changes a workspace.
    SetWorkspace(Workspace, WorkspaceSpec),
    /// Removes a workspace and its keys.
    RemoveWorkspace(Workspace),
    /// Adds a key; a name in use is rejected.
    AddKey(KeyName, Key),
    /// Withdraws a key.
    WithdrawKey(KeyName),
    /// Creates or changes a model.
    SetModel(Artifact, Model),
    /// Creates or changes an adapter.
    SetAdapter(Artifact, Adapter),
    /// Removes a model or an adapter; a model with adapters is rejected.
    RemoveArtifact(Artifact),
    /// Sets the limits and pinned endpoints of the copies of a model or adapter.
    SetPlace(Artifact, Place),
    /// Creates or changes an endpoint; a new address means a new engine, as if the endpoint were removed and added.
    SetEndpoint(Endpoint, EndpointSpec),
    /// Removes an endpoint; one with the last copy of a serving version is rejected.
    RemoveEndpoint(Endpoint),
    /// Sets whether an endpoint is draining.
    Drain(Endpoint, bool),
    /// Creates or changes a service and its routes.
    SetService(Service, ServiceSpec),
    /// Removes a service.
    RemoveService(Service),
    /// Retires the members of a process that an operator asserts is dead: the suspected ones, or all if there are none.
    RetireVm(Vm),
}
