//! Queries that operators can send, and their parser.

use strum::Display;

use quetzalpick_core::id::{Artifact, Command, Endpoint, Workspace};

use crate::errors::Result;
use crate::words::Words;

/// `Query` selects the table to show. Queries have no side effects.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Query {
    /// Copies loaded on engines, optionally filtered by artifact or endpoint.
    Loaded {
        /// Only copies of this model or adapter.
        artifact: Option<Artifact>,
        /// Only copies on this endpoint.
        endpoint: Option<Endpoint>,
    },
    /// Orders to engines that have not finished.
    Moving,
    /// Spending of workspaces compared with their rate and burst.
    Spending {
        /// Only this workspace.
        workspace: Option<Workspace>,
    },
    /// Revision in force on each VM.
    Revisions,
    /// Endpoints and VMs that are leaving and take no new work.
    Leaving,
    /// Workspaces with their limits.
    Workspaces,
    /// Keys of workspaces, without their secrets.
    Keys {
        /// Only keys of this workspace.
        workspace: Option<Workspace>,
    },
    /// Models.
    Models,
    /// Adapters.
    Adapters,
    /// Minimum and maximum number of copies of each artifact.
    Places,
    /// Endpoints.
    Endpoints,
    /// Services and their routes.
    Services,
    /// Gates and keepers in the roster, with their VMs.
    Vms,
    /// The placement leader.
    Leader,
    /// Outcome of a command.
    Command(Command),
}

/// Keywords that can follow `show`, in the order of the help.
const SUBJECTS: &[&str] = &[
    "loaded",
    "moving",
    "spending",
    "revisions",
    "leaving",
    "workspaces",
    "keys",
    "models",
    "adapters",
    "places",
    "endpoints",
    "services",
    "vms",
    "leader",
    "command",
];

impl Query {
    /// Parses the rest of a query after `show`.
    pub(crate) fn parse(words: &mut Words<'_>) -> Result<Self> {
        let query = match words.keyword(SUBJECTS)? {
            "loaded" => {
                let artifact = optional_name(words, "of", "a model or adapter")?;
                let endpoint = optional_name(words, "on", "an endpoint")?;
                Self::Loaded { artifact, endpoint }
            }
            "moving" => Self::Moving,
            "spending" => Self::Spending {
                workspace: optional_name(words, "of", "a workspace")?,
            },
            "revisions" => Self::Revisions,
            "leaving" => Self::Leaving,
            "workspaces" => Self::Workspaces,
            "keys" => Self::Keys {
                workspace: optional_name(words, "of", "a workspace")?,
            },
            "models" => Self::Models,
            "adapters" => Self::Adapters,
            "places" => Self::Places,
            "endpoints" => Self::Endpoints,
            "services" => Self::Services,
            "vms" => Self::Vms,
            "leader" => Self::Leader,
            _ => {
                Self::Command(words.value("a command id of 32 hexadecimal digits", Command::parse)?)
            }
        };
        Ok(query)
    }
}

/// Parses a name if the given keyword precedes it.
fn optional_name<T: TryFrom<String>>(
    words: &mut Words<'_>,
    keyword: &str,
    object: &str,
) -> Result<Option<T>> {
    if words.accept(keyword) {
        words.name(object).map(Some)
    } else {
        Ok(None)
    }
}
