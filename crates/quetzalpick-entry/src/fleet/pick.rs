//! The result of a selection.

use std::net::SocketAddr;
use std::sync::Arc;

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::limit::Need;
use quetzalpick_core::route::Reason;

use crate::fleet::{Build, Fleet};

/// `Pick` holds the endpoint selected for a request, which counts as in flight there until the pick is dropped.
#[derive(Debug)]
pub struct Pick {
    /// Name of the endpoint.
    pub endpoint: Endpoint,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Version of its software.
    pub build: Build,
    /// Wall-clock time of its start, in ms since 1970, which identifies its incarnation.
    pub started_ms: Option<u64>,
    /// Set if the request must not be sent without a permit.
    pub permit: Option<Need>,
    /// Whether the permit has not been obtained yet.
    pub(crate) awaits_permit: bool,
    /// Reason of the selection, for the log.
    pub reason: Reason,
    /// Requests in flight at the endpoint at selection, own and reported ones.
    pub load: u32,
    /// Its pace at selection, in thousandths.
    pub(crate) pace_permille: u64,
    /// Prompt tokens that the endpoint has to read; 0 once the first event has come.
    pub(crate) prompt_tokens: u64,
    pub(crate) fleet: Arc<Fleet>,
}

impl Drop for Pick {
    fn drop(&mut self) {
        let fleet = Arc::clone(&self.fleet);
        fleet.end_reading(self);
        fleet.release(self);
    }
}
