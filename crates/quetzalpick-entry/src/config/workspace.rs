//! A workspace: its keys and what it may spend.

use quetzalpick_core::id;

/// `Quota` is what a workspace may spend over all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Units a second.
    pub rate: u64,
    /// Units at once.
    pub burst: u64,
}

/// `Workspace` is one tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: id::Workspace,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank of its requests, before that of their routes.
    pub priority: Option<u8>,
    /// What it may spend; `None` if there is no limit.
    pub quota: Option<Quota>,
    /// Whether units are tokens; otherwise they are requests.
    pub by_tokens: bool,
    /// Tokens of a request that does not say how many it has.
    pub plain_tokens: u64,
}

impl Workspace {
    /// Returns the units that a request is charged, given its tokens.
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        if self.by_tokens {
            tokens.unwrap_or(self.plain_tokens)
        } else {
            1
        }
    }
}
