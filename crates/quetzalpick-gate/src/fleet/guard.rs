//! The count of requests under way at an endpoint.

use std::sync::Arc;

use quetzalpick_core::id::Endpoint;

use crate::fleet::Fleet;

/// `InFlight` counts one request as under way until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    fleet: Arc<Fleet>,
    endpoint: Endpoint,
}

impl InFlight {
    /// Counts a request that is about to be sent.
    pub(crate) fn new(fleet: &Arc<Fleet>, endpoint: &Endpoint) -> Self {
        fleet.dispatch(endpoint);
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
