//! Orders sent by this leader: when to repeat one, and when one can no longer arrive.

use quetzalpick_core::dispatch::History;
use quetzalpick_core::id::{Endpoint, Sequence};
use quetzalpick_core::record::Operation;
use quetzalpick_core::table::Table;

/// `Orders` remembers when orders were sent, in ms on this process's monotonic clock.
#[derive(Debug, Clone)]
pub(crate) struct Orders {
    /// The rules of lateness.
    pub(crate) history: History,
    sent_ms: Table<(Endpoint, Sequence), u64>,
    /// Orders that an engine refused because it knows a newer number.
    fenced: Table<(Endpoint, Sequence), ()>,
}

impl Orders {
    /// Starts a term.
    pub(crate) fn begin(now_ms: u64, lateness_ms: u64) -> Self {
        Self {
            history: History::new(now_ms, lateness_ms),
            sent_ms: Table::default(),
            fenced: Table::default(),
        }
    }

    /// Notes that an order is about to be sent.
    pub(crate) fn sent(
        &mut self,
        endpoint: &Endpoint,
        sequence: Sequence,
        operation: &Operation,
        now_ms: u64,
    ) {
        self.sent_ms.insert((endpoint.clone(), sequence), now_ms);
        self.history.sent(endpoint, operation, now_ms);
    }

    /// Notes that an engine refused an order because it knows a newer number.
    pub(crate) fn fenced(&mut self, endpoint: &Endpoint, sequence: Sequence) {
        self.fenced.insert((endpoint.clone(), sequence), ());
    }

    /// Tells whether an engine refused an order because it knows a newer number.
    pub(crate) fn is_fenced(&self, endpoint: &Endpoint, sequence: Sequence) -> bool {
        self.fenced.contains(&(endpoint.clone(), sequence))
    }

    /// Forgets when a settled order was sent; its lateness is remembered.
    pub(crate) fn settled(&mut self, endpoint: &Endpoint, sequence: Sequence) {
        self.sent_ms.remove(&(endpoint.clone(), sequence));
        self.fenced.remove(&(endpoint.clone(), sequence));
    }

    /// Tells whether an open order should be sent now.
    pub(crate) fn is_due(
        &self,
        endpoint: &Endpoint,
        sequence: Sequence,
        repeat_ms: u64,
        now_ms: u64,
    ) -> bool {
        match self.sent_ms.get(&(endpoint.clone(), sequence)) {
            Some(sent_ms) => now_ms.saturating_sub(*sent_ms) >= repeat_ms,
            None => true,
        }
    }
}
