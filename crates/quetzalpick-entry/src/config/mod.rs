//! The published configuration: routes, services, workspaces and limits.

pub mod check;
mod route;
mod service;
mod workspace;

pub use route::{Kind, Route, Target};
pub use service::{EngineSpec, Model, Service};
pub use workspace::{Quota, Workspace};

use quetzalpick_core::id;
use quetzalpick_core::table::Table;

/// `Limits` bounds the size of callers' requests and the idle time of their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Longest idle time of a connection, in ms.
    pub idle_ms: u64,
}

/// `Config` holds one complete version of the configuration, indexed for lookups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    version: u64,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    services: Table<id::Service, Service>,
    workspaces: Table<id::Workspace, Workspace>,
    keys: Table<String, id::Workspace>,
    limits: Limits,
}

impl Config {
    /// Creates a configuration and builds its lookup tables.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
        limits: Limits,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let keys = workspaces
            .iter()
            .flat_map(|workspace| workspace.keys.iter().map(|key| (key, &workspace.name)))
            .map(|(key, name)| (key.clone(), name.clone()))
            .collect();
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        let workspaces = workspaces
            .into_iter()
            .map(|w| (w.name.clone(), w))
            .collect();
        Self {
            version,
            routes,
            services,
            workspaces,
            keys,
            limits,
        }
    }

    /// Returns the version, which increases with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the routes, by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the services, by name.
    pub fn services(&self) -> &Table<id::Service, Service> {
        &self.services
    }

    /// Returns the workspaces, by name.
    pub fn workspaces(&self) -> &Table<id::Workspace, Workspace> {
        &self.workspaces
    }

    /// Returns whether requests on routes that are not open need a key.
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.get(self.keys.get(key)?)
    }

    /// Returns the route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self.routes.partition_point(|r| r.host.as_str() < host);
        let of_host = self.routes[from..].iter().take_while(|r| r.host == host);
        of_host
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}
