//! Endpoints that say in their answers that they leave.

use http::Response;
use quetzalpick_core::id::Endpoint;
use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, State};
use crate::wire::HeadCodec;

/// `Departure` tells another VM that an endpoint leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Wall-clock time of its start, in ms since 1970, which identifies its incarnation.
    pub started_ms: Option<u64>,
}

impl Fleet {
    /// Applies what the head of an answer says about the departure of an incarnation of an endpoint.
    pub(crate) fn observe_departure<B>(
        &self,
        codec: &impl HeadCodec,
        endpoint: &Endpoint,
        started_ms: Option<u64>,
        answer: &Response<B>,
    ) {
        if codec.is_leaving(answer.headers()) {
            self.record_departure(endpoint, started_ms);
        }
    }

    /// Records that an endpoint leaves, so that it gets no further requests; other incarnations of it are not concerned.
    pub(crate) fn record_departure(&self, endpoint: &Endpoint, started_ms: Option<u64>) {
        let mut rows = self.rows();
        let row = rows.get_mut(endpoint);
        let row = row.filter(|row| row.spec.started_ms == started_ms && !row.leaving);
        if let Some(row) = row {
            row.leaving = true;
            row.version = self.next_version();
            log::info!(
                "entry: endpoint={endpoint} leaving entry={}",
                row.spec.state
            );
        }
    }

    /// Returns the endpoints that leave although their entries, as far as this VM knows, say that they are ready.
    pub(crate) fn departures(&self) -> Vec<Departure> {
        let rows = self.rows();
        let leaving = rows
            .iter()
            .filter(|(_, row)| row.leaving && row.spec.state == State::Ready);
        leaving
            .map(|(name, row)| Departure {
                endpoint: name.clone(),
                started_ms: row.spec.started_ms,
            })
            .collect()
    }

    /// Returns whether this VM may pass a request of another one on to an endpoint.
    pub(crate) fn may_forward(&self, now_ms: u64, endpoint: &Endpoint) -> bool {
        let rows = self.rows();
        let row = rows.get(endpoint);
        row.is_some_and(|row| {
            !row.leaving && !row.is_evacuated(now_ms) && row.pause_ms(now_ms) == 0
        })
    }

    /// Returns the wall-clock time of an endpoint's start, in ms since 1970, if it is known.
    pub(crate) fn started_ms(&self, endpoint: &Endpoint) -> Option<u64> {
        self.rows().get(endpoint)?.spec.started_ms
    }
}
