//! Header handling: request ids, callers' keys, and the headers forwarded to endpoints and callers.

use http::HeaderMap;
use http::header::{
    ACCEPT, ACCEPT_LANGUAGE, AUTHORIZATION, CACHE_CONTROL, CONTENT_LANGUAGE, CONTENT_TYPE, ETAG,
    HeaderName, HeaderValue, IF_MATCH, IF_NONE_MATCH, LAST_MODIFIED, RETRY_AFTER,
};

use crate::api::query;

/// Header with the id of a request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the key of a call that must run at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum length of a request id or idempotency key from a caller, in characters.
pub(crate) const ID_MAX_CHARS: usize = 200;

/// Minimum length of a key to search for, in characters; shorter texts would match by chance.
const KEY_MIN_CHARS: usize = 8;

/// Maximum number of key parameters of a query that are searched for in the rest of the request.
const QUERY_KEYS_MAX: usize = 4;

/// Headers other than `Authorization` that may carry a key.
const KEY_HEADERS: [&str; 5] = [
    "api-key",
    "x-api-key",
    "x-auth-token",
    "x-access-token",
    "x-goog-api-key",
];

/// Request headers forwarded to endpoints; all others are dropped.
const UPSTREAM_HEADERS: [HeaderName; 7] = [
    ACCEPT,
    ACCEPT_LANGUAGE,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    IDEMPOTENCY_KEY,
    IF_MATCH,
    IF_NONE_MATCH,
];

/// Answer headers forwarded to callers; all others are dropped.
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

/// Collects the texts that a request presents as keys; their number is limited because each is searched for in the
/// entire request.
pub(crate) fn presented_keys(headers: &HeaderMap, query: &str) -> Vec<String> {
    let named = KEY_HEADERS.iter().filter_map(|name| headers.get(*name));
    let named = named.filter_map(|value| value.to_str().ok());
    let texts = bearer_token(headers)
        .into_iter()
        .chain(named)
        .map(str::to_owned);
    searchable(texts.chain(query::key_values(query).take(QUERY_KEYS_MAX)))
}

/// Collects all parts of a request's head that may be keys, since a caller may have put one anywhere by mistake.
pub(crate) fn candidate_keys(headers: &HeaderMap, path: &str, query: &str) -> Vec<String> {
    let values = headers.values().flat_map(split_value);
    let candidates = values
        .chain(query::segments(path))
        .chain(query::segments(query));
    searchable(candidates)
}

/// Splits a header's value where a key may begin or end, such as after a scheme or a cookie's name.
fn split_value(value: &HeaderValue) -> Vec<String> {
    let text = value.to_str().unwrap_or_default();
    text.split([' ', '=', ';', ','])
        .map(str::to_owned)
        .collect()
}

/// Sorts keys, and removes duplicates and keys that are too short to search for.
fn searchable(keys: impl Iterator<Item = String>) -> Vec<String> {
    let mut keys: Vec<String> = keys.filter(|key| key.len() >= KEY_MIN_CHARS).collect();
    keys.sort();
    keys.dedup();
    keys
}

/// Returns the request headers to forward to an endpoint, without those that contain a key.
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

/// Returns the answer headers to forward to the caller.
pub(crate) fn downstream(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in &DOWNSTREAM_HEADERS {
        if let Some(value) = headers.get(name) {
            forwarded.insert(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the value of a header; `None` unless it is 1 to `ID_MAX_CHARS` visible ASCII characters.
pub(crate) fn printable<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let text = headers.get(name)?.to_str().ok()?;
    let fits = !text.is_empty() && text.len() <= ID_MAX_CHARS;
    (fits && text.bytes().all(|b| b.is_ascii_graphic())).then_some(text)
}
