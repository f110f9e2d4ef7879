//! The link as this VM knows it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use quetzalpick_client::http::Pool;
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::link;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::sync::lock;

/// `Link` tells whether this VM reaches the endpoints itself.
#[derive(Debug)]
pub(crate) struct Link {
    pub(super) fleet: Arc<Fleet>,
    /// Connections to endpoints.
    pub(super) pool: Pool,
    clock: Clock,
    state: Mutex<link::Link>,
    /// Copy of the state for requests, changed with the state locked.
    is_lost: AtomicBool,
    /// Time of the last bytes from an endpoint, in ms.
    heard_ms: AtomicU64,
    /// Wakes the monitor when the link is lost.
    pub(super) lost: Notify,
}

impl Link {
    /// Creates a link that is not lost, to the endpoints of a fleet over the connections of a pool.
    pub(crate) fn new(fleet: Arc<Fleet>, pool: Pool, clock: Clock) -> Self {
        Self {
            fleet,
            pool,
            clock,
            state: Mutex::new(link::Link::new(link::Options::default())),
            is_lost: AtomicBool::default(),
            heard_ms: AtomicU64::default(),
            lost: Notify::new(),
        }
    }

    /// Returns whether the link is lost, so that requests go through other VMs.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Returns for how long the link has been lost, in ms; `None` if it is not.
    pub(crate) fn lost_for_ms(&self) -> Option<u64> {
        lock(&self.state).lost_for_ms(self.clock.now_ms())
    }

    /// Records that bytes of an answer arrived.
    pub(crate) fn record_heard(&self) {
        let now_ms = self.clock.now_ms();
        self.heard_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Records that a connection to an endpoint could not be established.
    pub(crate) fn record_failure(&self, endpoint: &Endpoint) {
        let (known, connections) = (self.fleet.count(), self.pool.connection_count());
        let now_ms = self.clock.now_ms();
        let mut state = lock(&self.state);
        if state.record_failure(now_ms, endpoint, known, connections) {
            log::warn!("link: lost endpoint={endpoint} known={known}");
            self.is_lost.store(true, Ordering::Relaxed);
            self.lost.notify_one();
        }
    }

    /// Records that a probe has established a connection. An answer is no such evidence: it may come on a connection that lives on
    /// while new ones fail.
    pub(super) fn record_connection(&self) {
        self.record_heard();
        let mut state = lock(&self.state);
        if let Some(lost_for_ms) = state.record_connection(self.clock.now_ms()) {
            log::info!("link: restored lost_for_ms={lost_for_ms}");
            self.is_lost.store(false, Ordering::Relaxed);
        }
    }

    /// Returns whether the link is to be probed now.
    pub(super) fn begin_probe(&self) -> bool {
        let busy = self.fleet.busy_count();
        let heard_ms = self.heard_ms.load(Ordering::Relaxed);
        lock(&self.state).begin_probe(self.clock.now_ms(), heard_ms, busy)
    }
}
