//! The link as this VM knows it.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::link;
use tokio::sync::Notify;

use crate::sync::lock;

/// `Link` tells whether this VM reaches the endpoints itself.
#[derive(Debug)]
pub(crate) struct Link {
    state: Mutex<link::Link>,
    /// Copy of the state for requests, changed with the state locked.
    is_lost: AtomicBool,
    /// Time of the last bytes from an endpoint, in ms.
    heard_ms: AtomicU64,
    /// Wakes the monitor when the link is lost.
    pub(super) lost: Notify,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            state: Mutex::new(link::Link::new(link::Options::default())),
            is_lost: AtomicBool::default(),
            heard_ms: AtomicU64::default(),
            lost: Notify::new(),
        }
    }
}

impl Link {
    /// Returns whether the link is lost, so that requests go through other VMs.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Records that bytes of an answer arrived.
    pub(crate) fn record_heard(&self, now_ms: u64) {
        self.heard_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Records that a connection to one of `known` endpoints could not be established; `connections` were established so far.
    pub(crate) fn record_failure(
        &self,
        now_ms: u64,
        endpoint: &Endpoint,
        known: usize,
        connections: u64,
    ) {
        let mut state = lock(&self.state);
        if state.record_failure(now_ms, endpoint, known, connections) {
            log::warn!("link: lost endpoint={endpoint} known={known}");
            self.is_lost.store(true, Ordering::Relaxed);
            self.lost.notify_one();
        }
    }

    /// Records that a probe has established a connection. An answer is no such evidence: it may come on a connection that lives on
    /// while new ones fail.
    pub(super) fn record_connection(&self, now_ms: u64) {
        self.record_heard(now_ms);
        let mut state = lock(&self.state);
        if let Some(lost_for_ms) = state.record_connection(now_ms) {
            log::info!("link: restored lost_for_ms={lost_for_ms}");
            self.is_lost.store(false, Ordering::Relaxed);
        }
    }

    /// Returns whether the link is to be probed now, while `busy` endpoints have requests of this VM.
    pub(super) fn begin_probe(&self, now_ms: u64, busy: usize) -> bool {
        let heard_ms = self.heard_ms.load(Ordering::Relaxed);
        lock(&self.state).begin_probe(now_ms, heard_ms, busy)
    }
}
