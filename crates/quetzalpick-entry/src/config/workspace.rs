//! Workspaces: their keys and quotas.

use quetzalpick_core::id;

/// `Quota` limits the units that a workspace may use over all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Units per second.
    pub rate: u64,
    /// Units that may be used at once.
    pub burst: u64,
}

/// `Workspace` describes a customer: its keys, priority and quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: id::Workspace,
    /// API keys.
    pub keys: Vec<String>,
    /// Priority of its requests; overrides that of the route.
    pub priority: Option<u8>,
    /// Quota; `None` if there is no limit.
    pub quota: Option<Quota>,
    /// Whether units are tokens; otherwise one request is one unit.
    pub by_tokens: bool,
    /// Tokens charged for a request that does not state its size.
    pub default_tokens: u64,
}

impl Workspace {
    /// Returns the units charged for a request with this number of tokens.
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        if self.by_tokens {
            tokens.unwrap_or(self.default_tokens)
        } else {
            1
        }
    }
}
