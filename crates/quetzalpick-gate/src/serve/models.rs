//! `/v1/models`: the models and adapters that a workspace may use.

use bytes::Bytes;
use http::Response;
use http::header::{CONTENT_TYPE, HeaderValue};
use quetzalpick_core::id::Artifact;
use quetzalpick_core::state::State;
use serde::Serialize;

use crate::api::body::Reply;
use crate::serve::access::Caller;

/// `ModelList` is encoded as the answer.
#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

/// `ModelEntry` describes a model or adapter in the answer.
#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<&'a str>,
}

/// Builds the entry of a model, or of an adapter with its base model.
fn entry<'a>(id: &'a Artifact, parent: Option<&'a Artifact>) -> ModelEntry<'a> {
    ModelEntry {
        id: id.as_str(),
        object: "model",
        owned_by: "quetzalpick",
        parent: parent.map(Artifact::as_str),
    }
}

/// Lists the models and adapters that a caller's workspace may use, sorted by name.
pub(crate) fn list(state: &State, caller: &Caller) -> Response<Reply> {
    let catalog = state.catalog();
    let models = catalog.models().keys().map(|name| entry(name, None));
    let adapters = catalog.adapters().iter();
    let adapters = adapters.map(|(name, adapter)| entry(name, Some(&adapter.base)));
    let is_allowed = |entry: &ModelEntry<'_>| {
        Artifact::try_new(entry.id).is_ok_and(|name| catalog.allows(&caller.workspace, &name))
    };
    let mut data: Vec<_> = models.chain(adapters).filter(is_allowed).collect();
    data.sort_by_key(|entry| entry.id);
    json(&ModelList {
        object: "list",
        data,
    })
}

/// Builds a JSON answer.
fn json(value: &impl Serialize) -> Response<Reply> {
    // Strings always encode.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Reply::full(Bytes::from(body)));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
