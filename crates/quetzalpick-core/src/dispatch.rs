//! Tracks which orders of a placement leader may still arrive at an engine.
//!
//! Times are milliseconds on the leader's own monotonic clock.

use crate::id::Endpoint;
use crate::record::{Operation, Settlement};
use crate::table::Table;

/// `History` records when the leader last sent each order.
///
/// An engine may execute an order again when a duplicate arrives late. The leader therefore announces the opposite of an order,
/// settles it as refused, or reports that its copy is gone, only on the basis of a report that it requested after the order could
/// no longer arrive.
#[derive(Debug, Clone)]
pub struct History {
    term_start: u64,
    lateness_ms: u64,
    sent: Table<Endpoint, Table<Operation, u64>>,
}

/// `Observation` is the status of one order at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observation {
    /// The report lists the copy as loaded.
    pub loaded: bool,
    /// The report lists the copy as being loaded.
    pub loading: bool,
    /// The report lists the order as refused for good.
    pub refused: bool,
    /// The engine checks fencing numbers and has a newer one, according to its report or its answer to the order.
    pub superseded: bool,
}

impl Observation {
    /// Returns true if the order cannot succeed; sending it again would only delay its settlement.
    pub fn cannot_succeed(self) -> bool {
        self.refused || self.superseded
    }
}

/// Returns the order that undoes another.
fn opposite(operation: &Operation) -> Operation {
    match operation {
        Operation::Load(name, version) => Operation::Unload(name.clone(), *version),
        Operation::Unload(name, version) => Operation::Load(name.clone(), *version),
    }
}

impl History {
    /// Creates the history of a leader whose term began at `now`; former leaders may have sent any order until then.
    ///
    /// An order arrives at most `lateness_ms` after it was sent; keepers use `record::ORDER_LATENESS_MS` by default.
    pub fn new(now: u64, lateness_ms: u64) -> Self {
        Self {
            term_start: now,
            lateness_ms,
            sent: Table::default(),
        }
    }

    /// Records that an order is being sent.
    pub fn sent(&mut self, endpoint: &Endpoint, operation: &Operation, now: u64) {
        let orders = self
            .sent
            .get_or_insert_with(endpoint.clone(), Table::default);
        orders.insert(operation.clone(), now);
        // Older orders have arrived or were lost.
        let lateness_ms = self.lateness_ms;
        orders.retain(|_, sent| now.saturating_sub(*sent) <= lateness_ms);
    }

    /// Returns true if an order can no longer arrive after `now`, whichever leader sent it.
    pub fn cannot_arrive(&self, endpoint: &Endpoint, operation: &Operation, now: u64) -> bool {
        let orders = self.sent.get(endpoint);
        let sent = orders.and_then(|orders| orders.get(operation));
        self.has_expired(sent.copied(), now)
    }

    /// Returns true if an order may be announced because its opposite can no longer arrive.
    pub fn may_announce(&self, endpoint: &Endpoint, operation: &Operation, now: u64) -> bool {
        self.cannot_arrive(endpoint, &opposite(operation), now)
    }

    /// Returns the settlement of an order according to a report requested at `requested_at`; `None` while the outcome is open.
    pub fn settlement(
        &self,
        endpoint: &Endpoint,
        operation: &Operation,
        observation: Observation,
        requested_at: u64,
    ) -> Option<Settlement> {
        let done = match operation {
            Operation::Load(..) => observation.loaded,
            Operation::Unload(..) => !observation.loaded && !observation.loading,
        };
        if done {
            return Some(Settlement::Done);
        }
        // A duplicate still in flight could be accepted after all, for instance by an engine that restarts.
        let refused = observation.cannot_succeed() && !observation.loading;
        let refused = refused && self.cannot_arrive(endpoint, operation, requested_at);
        refused.then_some(Settlement::Refused)
    }

    /// Returns true if no order can still arrive at an engine.
    ///
    /// This is required for a report after its restart, unless `Ledger::was_ordered` rules orders out.
    pub fn none_in_flight(&self, endpoint: &Endpoint, now: u64) -> bool {
        let orders = self.sent.get(endpoint);
        let newest = orders.and_then(|orders| orders.values().max());
        self.has_expired(newest.copied(), now)
    }

    /// Returns true if an order last sent at `sent`, or by a former leader, can no longer arrive.
    fn has_expired(&self, sent: Option<u64>, now: u64) -> bool {
        let sent = sent.unwrap_or(0).max(self.term_start);
        now.saturating_sub(sent) > self.lateness_ms
    }
}
