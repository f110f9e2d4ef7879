//! An endpoint that was picked for a request.

use std::net::SocketAddr;
use std::sync::Arc;

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::route::Reason;

use crate::fleet::Fleet;

/// `Pick` is an endpoint picked for a request, which counts as under way there until the pick is dropped.
#[derive(Debug)]
pub struct Pick {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// Why it was picked.
    pub reason: Reason,
    /// Requests that were under way there, as far as this VM knows.
    pub load: u32,
    pub(crate) fleet: Arc<Fleet>,
}

impl Drop for Pick {
    fn drop(&mut self) {
        self.fleet.release(&self.endpoint);
    }
}
