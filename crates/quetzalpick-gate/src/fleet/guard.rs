//! Counting of requests in flight at an endpoint.

use std::sync::Arc;

use quetzalpick_core::id::Endpoint;

use crate::fleet::Fleet;

/// `InFlight` counts one request as in flight at its endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    fleet: Arc<Fleet>,
    endpoint: Endpoint,
}

impl InFlight {
    /// Counts a request; called immediately before it is sent.
    pub(crate) fn new(fleet: &Arc<Fleet>, endpoint: &Endpoint) -> Self {
        fleet.record_dispatch(endpoint);
        Self {
            fleet: Arc::clone(fleet),
            endpoint: endpoint.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.fleet.release(&self.endpoint);
    }
}
