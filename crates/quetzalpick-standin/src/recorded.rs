//! Headers and queries of the requests that a stand-in received.

use std::sync::{Mutex, PoisonError};

use hyper::http::request::Parts;
use quetzalpick_core::table::Table;
use serde::Serialize;

/// Maximum number of distinct values stored per header, and of distinct queries.
const VALUES_MAX: usize = 10_000;

/// `RecordedRequests` lists the distinct header values and queries received, except those of admin calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RecordedRequests {
    /// Values by header name, sorted.
    pub headers: Vec<(String, Vec<String>)>,
    /// Queries, sorted.
    pub queries: Vec<String>,
    /// Occurrences of further distinct values, which are not stored once the limit is reached.
    pub left_out: u64,
}

impl RecordedRequests {
    /// Returns true if any header name, header value or query contains the text.
    pub fn contains(&self, text: &str) -> bool {
        let values = self.headers.iter().flat_map(|(_, values)| values);
        let names = self.headers.iter().map(|(name, _)| name);
        let mut all = values.chain(names).chain(&self.queries);
        all.any(|value| value.contains(text))
    }
}

/// `Recorder` collects the headers and queries of incoming requests.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    state: Mutex<State>,
}

/// `State` holds the distinct values as sorted table keys.
#[derive(Debug, Default)]
struct State {
    headers: Table<String, Table<String, ()>>,
    queries: Table<String, ()>,
    left_out: u64,
}

impl Recorder {
    /// Records the headers and the query of a request.
    pub(crate) fn record(&self, head: &Parts) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let State {
            headers,
            queries,
            left_out,
        } = &mut *state;
        for (name, value) in &head.headers {
            let values = headers.get_or_insert_with(name.to_string(), Table::default);
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            *left_out += insert_bounded(values, value);
        }
        if let Some(query) = head.uri.query() {
            *left_out += insert_bounded(queries, query.to_owned());
        }
    }

    /// Returns a copy of everything recorded.
    pub(crate) fn requests(&self) -> RecordedRequests {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let values = |values: &Table<String, ()>| values.keys().cloned().collect();
        let headers = state.headers.iter();
        RecordedRequests {
            headers: headers.map(|(name, v)| (name.clone(), values(v))).collect(),
            queries: values(&state.queries),
            left_out: state.left_out,
        }
    }
}

/// Adds a value unless the table is full; returns the number of values left out, 0 or 1.
fn insert_bounded(values: &mut Table<String, ()>, value: String) -> u64 {
    if values.len() >= VALUES_MAX && !values.contains(&value) {
        return 1;
    }
    values.insert(value, ());
    0
}
