//! The state of a VM's link to the endpoints.

use crate::id::Endpoint;
use crate::link::Options;
use crate::table::Table;

/// `Link` tells whether a VM reaches the endpoints itself.
///
/// One endpoint that cannot be connected to may have ended. Several in a row, with no connection established in between, are a
/// reason to send through other VMs. That costs little if the endpoints have ended after all, as these VMs cannot connect either.
/// Silence is no such reason, but one to probe: an endpoint may be silent, and open connections may hang.
#[derive(Debug, Clone)]
pub struct Link {
    options: Options,
    /// Endpoints that could not be connected to since a connection was last established, with the times in ms.
    failures: Table<Endpoint, u64>,
    /// Endpoints that could not be connected to although the link was sound, and when that was found, in ms.
    ended: Table<Endpoint, u64>,
    /// Number of connections established when the last failure was recorded.
    connections: u64,
    /// Since when the link has been lost, in ms.
    lost_ms: Option<u64>,
    /// Time of the last probe, in ms.
    probed_ms: u64,
}

impl Link {
    /// Creates the state of a link that is not lost.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            failures: Table::default(),
            ended: Table::default(),
            connections: 0,
            lost_ms: None,
            probed_ms: 0,
        }
    }

    /// Returns whether the link is lost.
    pub fn is_lost(&self) -> bool {
        self.lost_ms.is_some()
    }

    /// Returns for how long the link has been lost, in ms; `None` if it is not.
    pub fn lost_for_ms(&self, now_ms: u64) -> Option<u64> {
        self.lost_ms.map(|lost_ms| now_ms.saturating_sub(lost_ms))
    }

    /// Records that a connection to one of `known` endpoints could not be established; `connections` were established so far.
    /// Returns whether the link is lost from now on.
    pub fn record_failure(
        &mut self,
        now_ms: u64,
        endpoint: &Endpoint,
        known: usize,
        connections: u64,
    ) -> bool {
        if connections != self.connections {
            self.failures = Table::default();
            self.connections = connections;
        }
        let oldest_ms = now_ms.saturating_sub(self.options.failure_ttl_ms);
        self.failures.retain(|_, at_ms| *at_ms >= oldest_ms);
        self.ended.retain(|_, at_ms| *at_ms >= oldest_ms);
        // Requests for a service without endpoints would lose and restore the link again and again.
        if self.ended.contains(endpoint) {
            return false;
        }
        self.failures.insert(endpoint.clone(), now_ms);
        let is_new = self.lost_ms.is_none();
        let required = self.options.failures.min(known.max(1));
        if is_new && self.failures.len() >= required {
            self.lost_ms = Some(now_ms);
            // The first probe is due at once.
            self.probed_ms = 0;
        }
        is_new && self.is_lost()
    }

    /// Records that a probe has established a connection; returns for how long the link was lost, in ms, if it was.
    pub fn record_connection(&mut self, now_ms: u64) -> Option<u64> {
        let failures = std::mem::take(&mut self.failures);
        let lost_ms = self.lost_ms.take()?;
        let lost_for_ms = now_ms.saturating_sub(lost_ms);
        if lost_for_ms < self.options.probe_interval_ms {
            // The first probe succeeded: it was the endpoints that failed.
            for endpoint in failures.keys() {
                self.ended.insert(endpoint.clone(), now_ms);
            }
        }
        Some(lost_for_ms)
    }

    /// Returns whether the link is to be probed now: it is lost, or nothing was received from endpoints since `heard_ms` while
    /// `busy` of them have requests.
    pub fn begin_probe(&mut self, now_ms: u64, heard_ms: u64, busy: usize) -> bool {
        let is_silent = now_ms.saturating_sub(heard_ms) >= self.options.silence_ms;
        let is_suspected = is_silent && busy >= self.options.failures;
        let is_due = now_ms >= self.probed_ms + self.options.probe_interval_ms;
        let begins = is_due && (self.is_lost() || is_suspected);
        if begins {
            self.probed_ms = now_ms;
        }
        begins
    }
}
