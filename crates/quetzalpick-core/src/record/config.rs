//! Configuration: workspaces, keys, models, adapters, endpoints, services and routes.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::id::{Artifact, Domain, Endpoint, KeyName, Service, Version, Vm, Workspace};

/// `Digest` is the SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(#[serde(with = "crate::record::byte_string")] pub [u8; 32]);

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02x}{:02x}..", self.0[0], self.0[1])
    }
}

/// `WorkspaceSpec` is what operators set of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceSpec {
    /// Tokens per second across the whole fleet, at least 1.
    pub rate: u64,
    /// Tokens that may be spent at once across the whole fleet, at least 1.
    pub burst: u64,
    /// Models and adapters its keys open, sorted; empty for all.
    pub artifacts: Vec<Artifact>,
    /// Services its keys open, sorted; empty for all.
    pub services: Vec<Service>,
}

/// `Key` is a caller's key as the configuration holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The workspace that the key opens.
    pub workspace: Workspace,
    /// The key's digest.
    pub digest: Digest,
}

/// `Model` is what operators set of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Version that is to serve.
    pub version: Version,
    /// Accelerator memory of one copy, in MB.
    pub memory_mb: u64,
    /// Output tokens charged where a request states no limit.
    pub max_output: u32,
}

/// `Adapter` is what operators set of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Model that the adapter is applied to.
    pub base: Artifact,
    /// Version that is to serve.
    pub version: Version,
    /// Accelerator memory of one copy, in MB.
    pub memory_mb: u64,
}

/// `EndpointKind` tells model engines from instances of plain services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// Accelerators behind the endpoint.
        accelerators: u32,
        /// Accelerator memory for models and adapters, in MB.
        memory_mb: u64,
        /// Whether the engine refuses an order with an old fencing number.
        checks_fencing: bool,
    },
    /// An instance of a plain service.
    Service {
        /// The service.
        service: Service,
    },
}

/// `EndpointSpec` is what operators set of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// IP address and port, such as `127.0.0.1:9000`.
    pub address: String,
    /// Failure domain of the endpoint.
    pub domain: Domain,
    /// What it serves.
    pub kind: EndpointKind,
    /// Whether the endpoint is draining and takes no new work.
    pub draining: bool,
}

/// `ServiceSpec` is what operators set of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ServiceSpec {
    /// Tokens charged for one call.
    pub charge: u64,
    /// Routes, the longest matching prefix wins; a call that matches none is closed and not idempotent.
    pub routes: Vec<Route>,
}

/// `Route` is a rule for part of a service's paths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// HTTP method, or `*` for all.
    pub method: String,
    /// Path prefix, beginning with `/`.
    pub prefix: String,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// `Place` bounds the copies of a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Fewest copies, at least 1.
    pub min: u32,
    /// Most copies, at least `min`.
    pub max: u32,
    /// Endpoints that must hold a copy, sorted.
    pub pinned: Vec<Endpoint>,
}

/// `Change` is one change of configuration.
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
    /// Bounds or pins the copies of a model or adapter.
    SetPlace(Artifact, Place),
    /// Creates or changes an endpoint; another address means another engine, as after a removal.
    SetEndpoint(Endpoint, EndpointSpec),
    /// Removes an endpoint; one that holds the only copy of something is rejected.
    RemoveEndpoint(Endpoint),
    /// Sets whether an endpoint is draining.
    Drain(Endpoint, bool),
    /// Creates or changes a service and its routes.
    SetService(Service, ServiceSpec),
    /// Removes a service.
    RemoveService(Service),
    /// Retires the members of a process that an operator vouches is dead: the suspected ones, or all if none is.
    RetireVm(Vm),
}
