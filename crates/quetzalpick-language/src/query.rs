//! Queries: what operators can ask.

use strum::Display;

use quetzalpick_core::id::{Artifact, Command, Endpoint, Workspace};

use crate::errors::Result;
use crate::words::Words;

/// `Query` is a question about the system; it changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Query {
    /// Which copies engines hold, of one artifact or on one endpoint if named.
    Loaded {
        /// Only copies of this model or adapter.
        artifact: Option<Artifact>,
        /// Only copies on this endpoint.
        endpoint: Option<Endpoint>,
    },
    /// Which orders are open.
    Moving,
    /// What workspaces spend against rate and burst.
    Spending {
        /// Only this workspace.
        workspace: Option<Workspace>,
    },
    /// Which VMs have which revision in force.
    Revisions,
    /// Which endpoints and VMs are leaving.
    Leaving,
    /// Workspaces.
    Workspaces,
    /// Keys, never their secrets.
    Keys {
        /// Only keys of this workspace.
        workspace: Option<Workspace>,
    },
    /// Models.
    Models,
    /// Adapters.
    Adapters,
    /// Bounds of copies.
    Places,
    /// Endpoints.
    Endpoints,
    /// Services and their routes.
    Services,
    /// Members of the roster.
    Vms,
    /// The placement leader.
    Leader,
    /// What became of a command.
    Command(Command),
}

/// What can be asked, in the order of the help.
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
    /// Parses what follows `show`.
    pub(crate) fn parse(words: &mut Words<'_>) -> Result<Self> {
        let query = match words.keyword(SUBJECTS)? {
            "loaded" => {
                let artifact = optional(words, "of", "a model or adapter")?;
                let endpoint = optional(words, "on", "an endpoint")?;
                Self::Loaded { artifact, endpoint }
            }
            "moving" => Self::Moving,
            "spending" => Self::Spending {
                workspace: optional(words, "of", "a workspace")?,
            },
            "revisions" => Self::Revisions,
            "leaving" => Self::Leaving,
            "workspaces" => Self::Workspaces,
            "keys" => Self::Keys {
                workspace: optional(words, "of", "a workspace")?,
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

/// Takes a name behind a keyword, if the keyword is there.
fn optional<T: TryFrom<String>>(
    words: &mut Words<'_>,
    keyword: &str,
    what: &str,
) -> Result<Option<T>> {
    if words.accept(keyword) {
        words.name(what).map(Some)
    } else {
        Ok(None)
    }
}
