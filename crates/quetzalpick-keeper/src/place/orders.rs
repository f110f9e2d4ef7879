//! Orders sent in the current term: when to send one again, and when one can no longer arrive.

use quetzalpick_core::dispatch::History;
use quetzalpick_core::id::{Endpoint, Sequence};
use quetzalpick_core::record::Operation;
use quetzalpick_core::table::Table;

/// `SentOrders` tracks when orders were sent and which ones were refused as outdated.
///
/// Times are in ms on the monotonic clock of this process.
#[derive(Debug, Clone)]
pub(crate) struct SentOrders {
    /// Decides which orders can still arrive late.
    pub(crate) history: History,
    sent_ms: Table<(Endpoint, Sequence), u64>,
    /// Orders that an engine refused because it had received a newer fencing number.
    fenced: Table<(Endpoint, Sequence), ()>,
}

impl SentOrders {
    /// Creates the tracker for a term that begins at `now_ms`.
    pub(crate) fn new(now_ms: u64, lateness_ms: u64) -> Self {
        Self {
            history: History::new(now_ms, lateness_ms),
            sent_ms: Table::default(),
            fenced: Table::default(),
        }
    }

    /// Records that an order is about to be sent.
    pub(crate) fn record_sent(
        &mut self,
        endpoint: &Endpoint,
        sequence: Sequence,
        operation: &Operation,
        now_ms: u64,
    ) {
        self.sent_ms.insert((endpoint.clone(), sequence), now_ms);
        self.history.sent(endpoint, operation, now_ms);
    }

    /// Records that an engine refused an order because it had received a newer fencing number.
    pub(crate) fn record_fenced(&mut self, endpoint: &Endpoint, sequence: Sequence) {
        self.fenced.insert((endpoint.clone(), sequence), ());
    }

    /// Returns whether an engine refused an order because it had received a newer fencing number.
    pub(crate) fn is_fenced(&self, endpoint: &Endpoint, sequence: Sequence) -> bool {
        self.fenced.contains(&(endpoint.clone(), sequence))
    }

    /// Removes a settled order; `history` keeps its time, because a late copy of it may still arrive.
    pub(crate) fn remove_settled(&mut self, endpoint: &Endpoint, sequence: Sequence) {
        self.sent_ms.remove(&(endpoint.clone(), sequence));
        self.fenced.remove(&(endpoint.clone(), sequence));
    }

    /// Returns whether an open order was not sent yet, or last sent at least `resend_interval_ms` ago.
    pub(crate) fn is_due(
        &self,
        endpoint: &Endpoint,
        sequence: Sequence,
        resend_interval_ms: u64,
        now_ms: u64,
    ) -> bool {
        match self.sent_ms.get(&(endpoint.clone(), sequence)) {
            Some(sent_ms) => now_ms.saturating_sub(*sent_ms) >= resend_interval_ms,
            None => true,
        }
    }
}
