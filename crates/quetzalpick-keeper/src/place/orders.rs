//! Orders sent by this leader: when to repeat one, and when one may still be on its way.

use quetzalpick_core::id::{Endpoint, Sequence};
use quetzalpick_core::table::Table;

/// `Orders` remembers when orders were sent, in ms on this process's monotonic clock.
///
/// A leader knows nothing of orders that former leaders sent, so it counts them as sent when its term began.
#[derive(Debug, Clone, Default)]
pub(crate) struct Orders {
    began_ms: u64,
    sent_ms: Table<(Endpoint, Sequence), u64>,
    load_ms: Table<Endpoint, u64>,
}

impl Orders {
    /// Starts a term.
    pub(crate) fn begin(now_ms: u64) -> Self {
        Self {
            began_ms: now_ms,
            ..Self::default()
        }
    }

    /// Notes that an order is sent now.
    pub(crate) fn sent(
        &mut self,
        endpoint: &Endpoint,
        sequence: Sequence,
        is_load: bool,
        now_ms: u64,
    ) {
        self.sent_ms.insert((endpoint.clone(), sequence), now_ms);
        if is_load {
            self.load_ms.insert(endpoint.clone(), now_ms);
        }
    }

    /// Forgets a settled order.
    pub(crate) fn settled(&mut self, endpoint: &Endpoint, sequence: Sequence) {
        self.sent_ms.remove(&(endpoint.clone(), sequence));
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

    /// Tells whether a load may still be on its way to an engine.
    pub(crate) fn may_arrive(&self, endpoint: &Endpoint, lateness_ms: u64, now_ms: u64) -> bool {
        let last_ms = self
            .load_ms
            .get(endpoint)
            .copied()
            .unwrap_or_default()
            .max(self.began_ms);
        now_ms.saturating_sub(last_ms) < lateness_ms
    }
}
