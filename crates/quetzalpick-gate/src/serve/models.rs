//! `/v1/models`: the models and adapters that a key opens.

use bytes::Bytes;
use http::Response;
use http::header::{CONTENT_TYPE, HeaderValue};
use quetzalpick_core::id::Artifact;
use quetzalpick_core::state::State;
use serde::Serialize;

use crate::api::body::Reply;
use crate::serve::access::Caller;

/// `Listing` is the answer.
#[derive(Serialize)]
struct Listing<'a> {
    object: &'static str,
    data: Vec<Row<'a>>,
}

/// `Row` is one model or adapter.
#[derive(Serialize)]
struct Row<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<&'a str>,
}

/// Builds the row of a model or of an adapter with its base model.
fn row<'a>(id: &'a Artifact, parent: Option<&'a Artifact>) -> Row<'a> {
    Row {
        id: id.as_str(),
        object: "model",
        owned_by: "quetzalpick",
        parent: parent.map(Artifact::as_str),
    }
}

/// Lists what a caller's key opens, sorted by name.
pub(crate) fn list(state: &State, caller: &Caller) -> Response<Reply> {
    let catalog = state.catalog();
    let models = catalog.models().keys().map(|name| row(name, None));
    let adapters = catalog.adapters().iter();
    let adapters = adapters.map(|(name, adapter)| row(name, Some(&adapter.base)));
    let opened = |row: &Row<'_>| {
        Artifact::try_new(row.id).is_ok_and(|name| catalog.allows(&caller.workspace, &name))
    };
    let mut data: Vec<_> = models.chain(adapters).filter(opened).collect();
    data.sort_by_key(|row| row.id);
    json(&Listing {
        object: "list",
        data,
    })
}

/// Builds a JSON answer.
fn json(value: &impl Serialize) -> Response<Reply> {
    // Strings always encode.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Reply::whole(Bytes::from(body)));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
