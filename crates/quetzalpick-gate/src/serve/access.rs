//! Authentication of callers by their keys.

use http::HeaderMap;
use http::request::Parts;
use quetzalpick_core::id::Workspace;
use quetzalpick_core::record::Digest;
use quetzalpick_core::state::State;

use crate::api::refusal::{Kind, Refusal};
use crate::api::{header, identity};

/// `Caller` identifies an authenticated workspace and the digest of the key it presented.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Caller {
    /// Workspace of the key.
    pub(crate) workspace: Workspace,
    digest: Digest,
}

impl Caller {
    /// Authenticates a request by the key in its headers.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `not-run` if the key is missing, unknown or withdrawn.
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

    /// Returns whether the key still belongs to the workspace.
    pub(crate) fn is_valid(&self, state: &State) -> bool {
        workspace_of(state, &self.digest) == Some(&self.workspace)
    }

    /// Checks again that the key still belongs to the workspace, before a call is sent on its behalf.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `not-run` if the key was withdrawn in the meantime.
    pub(crate) fn recheck(&self, state: &State) -> Result<(), Refusal> {
        if self.is_valid(state) {
            return Ok(());
        }
        let message = "the key was withdrawn";
        Err(Refusal::not_run(Kind::AuthenticationError, message))
    }
}

/// Returns the workspace of the key that has this digest.
fn workspace_of<'a>(state: &'a State, digest: &Digest) -> Option<&'a Workspace> {
    let (_, key) = state.catalog().key(digest)?;
    // The table is sorted by digest, so the timing of the lookup leaks at most a prefix of a digest, which grants no
    // access.
    identity::constant_time_eq(&key.digest, digest).then_some(&key.workspace)
}

/// Returns all keys in a request's head: the texts presented as keys, and others that are configured keys.
pub(crate) fn keys(head: &Parts, state: &State) -> Vec<String> {
    let query = head.uri.query().unwrap_or_default();
    let mut keys = header::presented_keys(&head.headers, query);
    let candidates = header::candidate_keys(&head.headers, head.uri.path(), query);
    let is_key = |text: &String| workspace_of(state, &identity::digest(text)).is_some();
    keys.extend(candidates.into_iter().filter(is_key));
    keys
}
