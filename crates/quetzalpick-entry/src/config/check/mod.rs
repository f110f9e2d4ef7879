//! The check of a configuration before it is published: what cannot work, and what differs from another one.

mod difference;
mod limits;
mod matching;

pub use difference::{Action, Difference, differences};

use serde::Serialize;
use strum::Display;

use crate::config::{Config, Limits, Route, Service, Workspace};

/// `Draft` holds the parts of a configuration in the order in which they were written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// The version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

impl From<Draft> for Config {
    fn from(draft: Draft) -> Self {
        let Draft {
            version,
            routes,
            services,
            workspaces,
            limits,
        } = draft;
        Self::new(version, routes, services, workspaces, limits)
    }
}

/// `Severity` tells whether a configuration may be published in spite of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// Some requests cannot be served, or it is not clear how.
    Error,
    /// A part has no effect, or contradicts another one.
    Warning,
}

/// `Part` locates a finding: an entry, by its index in the order of the draft.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// A model of a service.
    Model {
        /// Index of the service.
        service: usize,
        /// Index of the model in it.
        model: usize,
    },
    /// A workspace.
    Workspace(usize),
}

/// `Field` is the field of an entry that a finding concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Field {
    /// The name.
    Name,
    /// The prefix of a route's path.
    Prefix,
    /// The services of a route.
    Targets,
    /// The timeout of a route.
    Timeout,
    /// The latency objective of a route.
    Objective,
    /// The objective for a stream's pauses.
    Pause,
    /// The attempts of a route.
    Attempts,
    /// The memory that a model needs.
    Memory,
    /// The adapters of a model.
    Adapters,
    /// The rate of loads from the weight store.
    Loads,
    /// The keys of a workspace.
    Keys,
    /// The rate and burst of a workspace.
    Quota,
}

/// `Finding` is something that operators should know before a configuration is published.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The entry.
    pub part: Part,
    /// Its field.
    pub field: Field,
    /// Whether it prevents the publication.
    pub severity: Severity,
    /// Description; it names no key.
    pub detail: String,
}

impl Finding {
    fn error(part: Part, field: Field, detail: impl Into<String>) -> Self {
        Self {
            part,
            field,
            severity: Severity::Error,
            detail: detail.into(),
        }
    }

    fn warning(part: Part, field: Field, detail: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(part, field, detail)
        }
    }
}

/// Returns the findings of a draft, by entry; `stop_ms` is the time in which a VM that stops finishes its requests, if it is known.
pub fn findings(draft: &Draft, stop_ms: Option<u64>) -> Vec<Finding> {
    let mut findings = matching::findings(draft);
    findings.extend(limits::findings(draft, stop_ms));
    findings.sort();
    findings
}
