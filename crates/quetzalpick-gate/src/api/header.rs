//! Headers: the request's id, the caller's key, and what of the headers may reach an endpoint or the caller.

use http::HeaderMap;
use http::header::{
    ACCEPT, ACCEPT_LANGUAGE, AUTHORIZATION, CACHE_CONTROL, CONTENT_LANGUAGE, CONTENT_TYPE, ETAG,
    HeaderName, HeaderValue, IF_MATCH, IF_NONE_MATCH, LAST_MODIFIED, RETRY_AFTER,
};

use crate::api::query;

/// Header that names a request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header that names a call which must run at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest request id or idempotency key taken from a caller, in characters.
pub(crate) const ID_MAX_CHARS: usize = 200;

/// Shortest text that is searched for as a key, in characters; shorter ones would match by chance.
const KEY_MIN_CHARS: usize = 8;

/// Key parameters of a query that are searched for in the rest of the request.
const QUERY_KEYS_MAX: usize = 4;

/// Headers that carry keys under other names.
const KEY_HEADERS: [&str; 5] = [
    "api-key",
    "x-api-key",
    "x-auth-token",
    "x-access-token",
    "x-goog-api-key",
];

/// Headers of a request that may reach an endpoint; all others are left out.
const UPSTREAM_HEADERS: [HeaderName; 7] = [
    ACCEPT,
    ACCEPT_LANGUAGE,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    IDEMPOTENCY_KEY,
    IF_MATCH,
    IF_NONE_MATCH,
];

/// Headers of an answer that may reach the caller.
const DOWNSTREAM_HEADERS: [HeaderName; 6] = [
    CACHE_CONTROL,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    ETAG,
    LAST_MODIFIED,
    RETRY_AFTER,
];

/// Returns the key of the `Authorization: Bearer` header.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Collects the texts that a request presents as keys: a few, as each is searched for in the whole request.
pub(crate) fn presented_keys(headers: &HeaderMap, query: &str) -> Vec<String> {
    let named = KEY_HEADERS.iter().filter_map(|name| headers.get(*name));
    let named = named.filter_map(|value| value.to_str().ok());
    let texts = bearer_token(headers)
        .into_iter()
        .chain(named)
        .map(str::to_owned);
    searchable(texts.chain(query::key_values(query).take(QUERY_KEYS_MAX)))
}

/// Collects the words of a request's head that may be keys, wherever a caller may have put one by mistake.
pub(crate) fn candidate_keys(headers: &HeaderMap, path: &str, query: &str) -> Vec<String> {
    let values = headers.values().flat_map(split_value);
    let candidates = values
        .chain(query::segments(path))
        .chain(query::segments(query));
    searchable(candidates)
}

/// Cuts a header's value where a key may begin or end: after a scheme or a cookie's name.
fn split_value(value: &HeaderValue) -> Vec<String> {
    let text = value.to_str().unwrap_or_default();
    text.split([' ', '=', ';', ','])
        .map(str::to_owned)
        .collect()
}

/// Sorts keys and leaves out those that are too short to be searched for.
fn searchable(keys: impl Iterator<Item = String>) -> Vec<String> {
    let mut keys: Vec<String> = keys.filter(|key| key.len() >= KEY_MIN_CHARS).collect();
    keys.sort();
    keys.dedup();
    keys
}

/// Returns the headers that may reach an endpoint, without those that hold a key.
pub(crate) fn upstream(headers: &HeaderMap, keys: &[String]) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in &UPSTREAM_HEADERS {
        let has_no_key = |value: &&HeaderValue| {
            value
                .to_str()
                .is_ok_and(|text| !query::contains_key(text, keys))
        };
        if let Some(value) = headers.get(name).filter(has_no_key) {
            forwarded.insert(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the headers of an answer that may reach the caller.
pub(crate) fn downstream(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in &DOWNSTREAM_HEADERS {
        if let Some(value) = headers.get(name) {
            forwarded.insert(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Reads a text header of bounded length.
pub(crate) fn printable<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let text = headers.get(name)?.to_str().ok()?;
    let fits = !text.is_empty() && text.len() <= ID_MAX_CHARS;
    (fits && text.bytes().all(|b| b.is_ascii_graphic())).then_some(text)
}
