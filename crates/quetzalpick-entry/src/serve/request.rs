//! A request that was admitted, on its way to an endpoint.

use bytes::Bytes;
use http::request::Parts;
use quetzalpick_core::id::{Artifact, Endpoint, Service, Workspace};
use quetzalpick_core::retry::Deadline;

use crate::config::Route;
use crate::metadata::Metadata;

/// `Admitted` is a request that was admitted.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) metadata: Metadata,
    pub(crate) route: Route,
    pub(crate) service: Service,
    pub(crate) workspace: Option<Workspace>,
    /// Units that the workspace is charged.
    pub(crate) units: u64,
    /// Rank among the requests of its endpoint.
    pub(crate) priority: u8,
    /// When its head had arrived, in ms.
    pub(crate) arrived_ms: u64,
    /// When the caller stops waiting.
    pub(crate) caller_timeout: Option<Deadline>,
    /// When the operator wants it answered.
    pub(crate) timeout: Option<Deadline>,
    /// Version of the configuration that it was admitted by.
    pub(crate) version: u64,
    /// Endpoints that it was sent to.
    pub(crate) tried: Vec<Endpoint>,
    /// Of these, how many may have run it.
    pub(crate) runs: u32,
}

impl Admitted {
    /// Returns the attempt's id for the log.
    pub(crate) fn id(&self) -> &str {
        self.metadata.attempt.as_deref().unwrap_or("-")
    }

    /// Returns what an endpoint must hold.
    pub(crate) fn artifacts(&self) -> Vec<&Artifact> {
        self.metadata.artifacts().collect()
    }

    /// Returns the time left for the answer, in ms.
    pub(crate) fn left_ms(&self, now_ms: u64) -> Option<u64> {
        let deadlines = [self.caller_timeout, self.timeout];
        let ends = deadlines.into_iter().flatten();
        ends.min().map(|deadline| deadline.left_ms(now_ms))
    }

    /// Tells whether it may be sent to one more endpoint, of which it may run at.
    pub(crate) fn has_runs_left(&self) -> bool {
        self.runs < self.route.attempts.max(1)
    }
}
