//! When a placement leader may rely on an order being no longer on its way.
//!
//! Times are milliseconds on the leader's own monotonic clock.

use crate::id::Endpoint;
use crate::record::{Operation, Settlement};
use crate::table::Table;

/// `History` remembers when the leader last sent each order.
///
/// An engine may carry out an order again when it arrives late. So the leader announces the opposite of an order,
/// settles it as refused, or reports that its copy is gone, only on a report that it asked for after the order can no
/// longer arrive.
#[derive(Debug, Clone)]
pub struct History {
    began: u64,
    lateness_ms: u64,
    sent: Table<Endpoint, Table<Operation, u64>>,
}

/// `Observation` is what an engine showed of one order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observation {
    /// The report lists the copy as loaded.
    pub loaded: bool,
    /// The report lists the copy as being loaded.
    pub loading: bool,
    /// The report lists the order as refused for good.
    pub refused: bool,
    /// The engine checks fencing numbers and knows a newer one, by its report or by its answer to the order.
    pub superseded: bool,
}

impl Observation {
    /// Tells whether sending the order again is useless; it would only put off its settlement.
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
    /// Creates the memory of a leader whose term began at `now`; former leaders may have sent anything until then.
    ///
    /// An order arrives at most `lateness_ms` after it was sent, by default `record::ORDER_LATENESS_MS`.
    pub fn new(now: u64, lateness_ms: u64) -> Self {
        Self {
            began: now,
            lateness_ms,
            sent: Table::default(),
        }
    }

    /// Notes that an order is being sent.
    pub fn sent(&mut self, endpoint: &Endpoint, operation: &Operation, now: u64) {
        let orders = self
            .sent
            .get_or_insert_with(endpoint.clone(), Table::default);
        orders.insert(operation.clone(), now);
        // Orders that have arrived or were lost need not be remembered.
        let lateness_ms = self.lateness_ms;
        orders.retain(|_, sent| now.saturating_sub(*sent) <= lateness_ms);
    }

    /// Tells whether an order, as sent by anybody, can no longer arrive after `now`.
    pub fn cannot_arrive(&self, endpoint: &Endpoint, operation: &Operation, now: u64) -> bool {
        let orders = self.sent.get(endpoint);
        let sent = orders.and_then(|orders| orders.get(operation));
        self.sent_cannot_arrive(sent.copied(), now)
    }

    /// Tells whether an order may be announced, because its opposite can no longer arrive.
    pub fn may_announce(&self, endpoint: &Endpoint, operation: &Operation, now: u64) -> bool {
        self.cannot_arrive(endpoint, &opposite(operation), now)
    }

    /// Returns what became of an order as a report shows it that was asked for at `asked`, `None` while that is open.
    pub fn settlement(
        &self,
        endpoint: &Endpoint,
        operation: &Operation,
        observation: Observation,
        asked: u64,
    ) -> Option<Settlement> {
        let done = match operation {
            Operation::Load(..) => observation.loaded,
            Operation::Unload(..) => !observation.loaded && !observation.loading,
        };
        if done {
            return Some(Settlement::Done);
        }
        // A copy of the order that is still on its way could be taken after all, as by an engine that restarts.
        let refused = observation.cannot_succeed() && !observation.loading;
        let refused = refused && self.cannot_arrive(endpoint, operation, asked);
        refused.then_some(Settlement::Refused)
    }

    /// Tells whether no order at all can still arrive at an engine.
    ///
    /// A report after its restart needs that, unless `Ledger::was_ordered` rules orders out.
    pub fn none_in_flight(&self, endpoint: &Endpoint, now: u64) -> bool {
        let orders = self.sent.get(endpoint);
        let newest = orders.and_then(|orders| orders.values().max());
        self.sent_cannot_arrive(newest.copied(), now)
    }

    /// Tells whether an order sent last at `sent`, or by a former leader, can no longer arrive.
    fn sent_cannot_arrive(&self, sent: Option<u64>, now: u64) -> bool {
        let sent = sent.unwrap_or(0).max(self.began);
        now.saturating_sub(sent) > self.lateness_ms
    }
}
