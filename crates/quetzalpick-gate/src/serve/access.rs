//! Keys: who calls, and whether the key is still in force.

use http::HeaderMap;
use http::request::Parts;
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
        let key = header::bearer_token(headers)
            .ok_or_else(|| refuse("no key: send 'Authorization: Bearer KEY'"))?;
        let digest = identity::digest(key);
        let workspace =
            workspace_of(state, &digest).ok_or_else(|| refuse("the key is not known"))?;
        Ok(Self {
            workspace: workspace.clone(),
            digest,
        })
    }

    /// Tells whether the key still opens the workspace.
    pub(crate) fn is_valid(&self, state: &State) -> bool {
        workspace_of(state, &self.digest) == Some(&self.workspace)
    }

    /// Checks once more that the key still opens the workspace, before work is sent on its behalf.
    ///
    /// # Errors
    ///
    /// A refusal that did not run if the key was withdrawn meanwhile.
    pub(crate) fn recheck(&self, state: &State) -> Result<(), Refusal> {
        if self.is_valid(state) {
            return Ok(());
        }
        let message = "the key was withdrawn";
        Err(Refusal::not_run(Kind::AuthenticationError, message))
    }
}

/// Returns the workspace that the key with a digest opens.
fn workspace_of<'a>(state: &'a State, digest: &Digest) -> Option<&'a Workspace> {
    let (_, key) = state.catalog().key(digest)?;
    // The table is sorted by digest, so the lookup leaks at most a prefix of a digest, which opens nothing.
    identity::constant_time_eq(&key.digest, digest).then_some(&key.workspace)
}

/// Returns every key in a request's head: what is presented as one, and what is one by the configuration.
pub(crate) fn keys(head: &Parts, state: &State) -> Vec<String> {
    let query = head.uri.query().unwrap_or_default();
    let mut keys = header::presented_keys(&head.headers, query);
    let candidates = header::candidate_keys(&head.headers, head.uri.path(), query);
    let is_key = |text: &String| workspace_of(state, &identity::digest(text)).is_some();
    keys.extend(candidates.into_iter().filter(is_key));
    keys
}
