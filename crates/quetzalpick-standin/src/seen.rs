//! What a stand-in saw of its callers.

use std::sync::{Mutex, PoisonError};

use hyper::http::request::Parts;
use quetzalpick_core::table::Table;
use serde::Serialize;

/// Most different values remembered of one header or of the query.
const VALUES_MAX: usize = 10_000;

/// `Seen` is every different header value and query that arrived, but for calls to the administration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Seen {
    /// Values by header name, sorted.
    pub headers: Vec<(String, Vec<String>)>,
    /// Queries, sorted.
    pub queries: Vec<String>,
    /// Values left out because there were too many.
    pub left_out: u64,
}

impl Seen {
    /// Tells whether a text occurs in any header or query.
    pub fn contains(&self, text: &str) -> bool {
        let values = self.headers.iter().flat_map(|(_, values)| values);
        let names = self.headers.iter().map(|(name, _)| name);
        let mut all = values.chain(names).chain(&self.queries);
        all.any(|value| value.contains(text))
    }
}

/// `Recorder` remembers what arrives.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    inner: Mutex<Inner>,
}

/// `Inner` is what a recorder remembers.
#[derive(Debug, Default)]
struct Inner {
    headers: Table<String, Table<String, ()>>,
    queries: Table<String, ()>,
    left_out: u64,
}

impl Recorder {
    /// Remembers the headers and the query of a request.
    pub(crate) fn record(&self, head: &Parts) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let Inner {
            headers,
            queries,
            left_out,
        } = &mut *inner;
        for (name, value) in &head.headers {
            let values = headers.get_or_insert_with(name.to_string(), Table::default);
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            *left_out += remember(values, value);
        }
        if let Some(query) = head.uri.query() {
            *left_out += remember(queries, query.to_owned());
        }
    }

    /// Returns what was remembered.
    pub(crate) fn seen(&self) -> Seen {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let values = |values: &Table<String, ()>| values.keys().cloned().collect();
        let headers = inner.headers.iter();
        Seen {
            headers: headers.map(|(name, v)| (name.clone(), values(v))).collect(),
            queries: values(&inner.queries),
            left_out: inner.left_out,
        }
    }
}

/// Adds a value while there is room, and returns how many were left out.
fn remember(values: &mut Table<String, ()>, value: String) -> u64 {
    if values.len() >= VALUES_MAX && !values.contains(&value) {
        return 1;
    }
    values.insert(value, ());
    0
}
