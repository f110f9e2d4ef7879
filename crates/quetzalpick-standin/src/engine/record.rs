//! What an engine recorded.

use quetzalpick_client::wire::engine::Order;
use quetzalpick_core::table::Table;
use serde::Serialize;

use crate::seen::Seen;

/// Most request ids whose executions are counted one by one.
const IDS_MAX: usize = 200_000;

/// Most orders and overcommits kept in full.
const ORDERS_MAX: usize = 10_000;

/// `Record` is everything that an engine recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// The present boot.
    pub boot: u64,
    /// Executions by request id, sorted; continuations and resumptions included.
    pub executions: Vec<(String, u32)>,
    /// All executions.
    pub executed: u64,
    /// Requests cancelled by a call.
    pub cancelled: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Continuations of a text that this engine would not have generated.
    pub bad_prefixes: u64,
    /// Most requests in the running batch.
    pub running_max: u32,
    /// Orders that arrived, in the order they took effect or were refused.
    pub orders: Vec<Order>,
    /// How often memory was overcommitted.
    pub overcommit_count: u64,
    /// Loads that overcommitted memory.
    pub overcommits: Vec<Overcommit>,
    /// Headers and queries that arrived.
    pub seen: Seen,
}

/// `Overcommit` is a load for which there was no room.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Overcommit {
    /// The order.
    pub order: Order,
    /// Memory in use with it, in MB.
    pub used_mb: u64,
    /// Memory there is, in MB.
    pub memory_mb: u64,
}

/// `Tally` adds up what is recorded of requests.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    executions: Table<String, u32>,
    /// Everything but executions by id.
    pub(crate) record: Record,
}

impl Tally {
    /// Counts an execution, with so many requests in the batch.
    pub(crate) fn execute(&mut self, id: &str, running: u32) {
        self.record.executed += 1;
        self.record.running_max = self.record.running_max.max(running);
        if self.executions.len() < IDS_MAX || self.executions.contains(id) {
            *self.executions.get_or_insert_with(id.to_owned(), || 0) += 1;
        }
    }

    /// Remembers an order.
    pub(crate) fn order(&mut self, order: &Order) {
        if self.record.orders.len() < ORDERS_MAX {
            self.record.orders.push(order.clone());
        }
    }

    /// Remembers an overcommit.
    pub(crate) fn overcommit(&mut self, overcommit: Overcommit) {
        self.record.overcommit_count += 1;
        if self.record.overcommits.len() < ORDERS_MAX {
            self.record.overcommits.push(overcommit);
        }
    }

    /// Returns everything recorded, with the executions by id.
    pub(crate) fn full(&self) -> Record {
        let executions = self.executions.iter();
        Record {
            executions: executions.map(|(id, n)| (id.clone(), *n)).collect(),
            ..self.record.clone()
        }
    }
}
