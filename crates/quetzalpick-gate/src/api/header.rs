//! Headers: the request's id, the caller's key, and what of the headers may reach an endpoint or the caller.

use http::HeaderMap;
use http::header::{
    ACCEPT, ACCEPT_LANGUAGE, AUTHORIZATION, CACHE_CONTROL, CONTENT_LANGUAGE, CONTENT_TYPE, COOKIE,
    ETAG, HeaderName, HeaderValue, IF_MATCH, IF_NONE_MATCH, LAST_MODIFIED, PROXY_AUTHORIZATION,
    RETRY_AFTER,
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

/// Headers that carry keys under other names.
const KEY_HEADERS: [&str; 5] = [
    "api-key",
    "x-api-key",
    "x-auth-token",
    "x-access-token",
    "x-goog-api-key",
];

/// Headers of a request that may reach an endpoint; all others are left out.
const UPSTREAM: [HeaderName; 7] = [
    ACCEPT,
    ACCEPT_LANGUAGE,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    IDEMPOTENCY_KEY,
    IF_MATCH,
    IF_NONE_MATCH,
];

/// Headers of an answer that may reach the caller.
const DOWNSTREAM: [HeaderName; 6] = [
    CACHE_CONTROL,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    ETAG,
    LAST_MODIFIED,
    RETRY_AFTER,
];

/// Returns the key of the `Authorization: Bearer` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Collects every text of a request that may be a key, wherever callers put it.
pub(crate) fn presented_keys(headers: &HeaderMap, query: &str) -> Vec<String> {
    let mut keys: Vec<String> = query::presented(query).collect();
    for name in [&AUTHORIZATION, &PROXY_AUTHORIZATION, &COOKIE] {
        let texts = headers.get_all(name).iter().filter_map(|v| v.to_str().ok());
        // A scheme or a cookie's name stands before the key.
        keys.extend(texts.flat_map(|text| text.split([' ', '=', ';', ',']).map(str::to_owned)));
    }
    for name in KEY_HEADERS {
        let texts = headers.get_all(name).iter().filter_map(|v| v.to_str().ok());
        keys.extend(texts.map(str::to_owned));
    }
    keys.retain(|key| key.len() >= KEY_MIN_CHARS);
    keys.sort();
    keys.dedup();
    keys
}

/// Returns the headers that may reach an endpoint, without those that hold a key.
pub(crate) fn upstream(headers: &HeaderMap, keys: &[String]) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for name in &UPSTREAM {
        let clean = |value: &&HeaderValue| {
            value
                .to_str()
                .is_ok_and(|text| !query::holds_key(text, keys))
        };
        if let Some(value) = headers.get(name).filter(clean) {
            kept.insert(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns the headers of an answer that may reach the caller.
pub(crate) fn downstream(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for name in &DOWNSTREAM {
        if let Some(value) = headers.get(name) {
            kept.insert(name.clone(), value.clone());
        }
    }
    kept
}

/// Reads a printable header of bounded length.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let text = headers.get(name)?.to_str().ok()?;
    let fits = !text.is_empty() && text.len() <= ID_MAX_CHARS;
    (fits && text.bytes().all(|b| b.is_ascii_graphic())).then_some(text)
}
