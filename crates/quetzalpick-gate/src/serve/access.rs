//! Keys: who calls, and whether the key is still in force.

use http::HeaderMap;
use quetzalpick_core::id::Workspace;
use quetzalpick_core::record::Digest;
use quetzalpick_core::state::State;

use crate::api::refusal::{Kind, Refusal};
use crate::api::{header, identity};

/// `Caller` is a workspace with the digest of the key that opened it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Caller {
    /// The workspace.
    pub(crate) workspace: Workspace,
    digest: Digest,
}

impl Caller {
    /// Reads the key of a request and looks up its workspace.
    ///
    /// # Errors
    ///
    /// A refusal that did not run if the key is missing, unknown or withdrawn.
    pub(crate) fn try_new(headers: &HeaderMap, state: &State) -> Result<Self, Refusal> {
        let refuse = |message| Refusal::not_run(Kind::AuthenticationError, message);
        let key = header::bearer(headers)
            .ok_or_else(|| refuse("no key: send 'Authorization: Bearer KEY'"))?;
        let digest = identity::digest(key);
        let workspace = lookup(state, &digest).ok_or_else(|| refuse("the key is not known"))?;
        Ok(Self {
            workspace: workspace.clone(),
            digest,
        })
    }

    /// Tells whether the key still opens the workspace.
    pub(crate) fn holds(&self, state: &State) -> bool {
        lookup(state, &self.digest) == Some(&self.workspace)
    }

    /// Checks once more that the key still opens the workspace, before work is sent on its behalf.
    ///
    /// # Errors
    ///
    /// A refusal that did not run if the key was withdrawn meanwhile.
    pub(crate) fn recheck(&self, state: &State) -> Result<(), Refusal> {
        if self.holds(state) {
            return Ok(());
        }
        let message = "the key was withdrawn";
        Err(Refusal::not_run(Kind::AuthenticationError, message))
    }
}

/// Returns the workspace that the key with a digest opens.
fn lookup<'a>(state: &'a State, digest: &Digest) -> Option<&'a Workspace> {
    let (_, key) = state.catalog().key(digest)?;
    // The table is sorted by digest, so the lookup leaks at most a prefix of a digest, which opens nothing.
    identity::same(&key.digest, digest).then_some(&key.workspace)
}
