//! The published configuration: routes, services, workspaces, limits.

mod route;
mod service;
mod workspace;

pub use route::{Kind, Route, Target};
pub use service::{EngineSpec, Model, Service};
pub use workspace::{Quota, Workspace};

use quetzalpick_core::id;
use quetzalpick_core::table::Table;

/// `Limits` bound what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Longest time that a connection may be idle, in ms.
    pub idle_ms: u64,
}

/// `Config` is one version of the configuration, as a whole.
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
    /// Makes a configuration of its parts.
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

    /// Returns the version; it grows with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what callers send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the services, by name.
    pub fn services(&self) -> &Table<id::Service, Service> {
        &self.services
    }

    /// Returns the workspaces, by name.
    pub fn workspaces(&self) -> &Table<id::Workspace, Workspace> {
        &self.workspaces
    }

    /// Tells whether requests on routes that are not open need a key.
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the workspace that holds a key.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.get(self.keys.get(key)?)
    }

    /// Returns the route of the host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self.routes.partition_point(|r| r.host.as_str() < host);
        let of_host = self.routes[from..].iter().take_while(|r| r.host == host);
        of_host
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}
