//! An endpoint that was picked for a request.

use std::net::SocketAddr;
use std::sync::Arc;

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::route::{Crowd, Reason};

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
    /// The requests that were thought to be there.
    pub(crate) crowd: Crowd,
    /// Whether it counts as waiting for its first token.
    pub(crate) waits: bool,
    pub(crate) fleet: Arc<Fleet>,
}

impl Pick {
    /// Notes that the first token is there.
    pub(crate) fn begin(&mut self) {
        if std::mem::take(&mut self.waits) {
            self.fleet.end_wait(&self.endpoint);
        }
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        self.begin();
        self.fleet.release(&self.endpoint);
    }
}
