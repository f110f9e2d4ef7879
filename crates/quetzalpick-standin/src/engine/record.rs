//! Record of the requests and orders of an engine.

use quetzalpick_client::wire::engine::Order;
use quetzalpick_core::table::Table;
use serde::Serialize;

use crate::recorded::RecordedRequests;

/// Maximum number of request ids with an execution count of their own.
const IDS_MAX: usize = 200_000;

/// Maximum number of orders, and of overcommits, stored in full.
const ORDERS_MAX: usize = 10_000;

/// `Record` reports what an engine received and did since it was created, across restarts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Current incarnation of the engine.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Executions by request id, sorted, including continuations and resumptions.
    pub executions: Vec<(String, u32)>,
    /// Total number of executions.
    pub executed: u64,
    /// Requests cancelled by a call.
    pub cancelled: u64,
    /// Resumed requests.
    pub resumed: u64,
    /// Requests whose prefix differs from the text that this engine would have generated.
    pub bad_prefixes: u64,
    /// Maximum number of requests in the running batch.
    pub running_max: u32,
    /// Orders, in the sequence in which they took effect or were refused.
    pub orders: Vec<Order>,
    /// Number of times memory was overcommitted.
    pub overcommit_count: u64,
    /// Loads that overcommitted memory.
    pub overcommits: Vec<Overcommit>,
    /// Headers and queries received.
    #[serde(rename = "seen")]
    pub requests: RecordedRequests,
}

/// `Overcommit` describes a load that exceeded the memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Overcommit {
    /// Order to load.
    pub order: Order,
    /// Memory in use including this load, in MB.
    pub used_mb: u64,
    /// Memory of the engine, in MB.
    pub memory_mb: u64,
}

/// `Tally` accumulates the counts and orders of a `Record`.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    executions: Table<String, u32>,
    /// All recorded values except the executions by id.
    pub(crate) record: Record,
}

impl Tally {
    /// Counts an execution that started with `running` requests in the batch.
    pub(crate) fn record_execution(&mut self, id: &str, running: u32) {
        self.record.executed += 1;
        self.record.running_max = self.record.running_max.max(running);
        if self.executions.len() < IDS_MAX || self.executions.contains(id) {
            *self.executions.get_or_insert_with(id.to_owned(), || 0) += 1;
        }
    }

    /// Records an order.
    pub(crate) fn record_order(&mut self, order: &Order) {
        if self.record.orders.len() < ORDERS_MAX {
            self.record.orders.push(order.clone());
        }
    }

    /// Records an overcommit.
    pub(crate) fn record_overcommit(&mut self, overcommit: Overcommit) {
        self.record.overcommit_count += 1;
        if self.record.overcommits.len() < ORDERS_MAX {
            self.record.overcommits.push(overcommit);
        }
    }

    /// Returns the complete record, including the executions by id.
    pub(crate) fn to_record(&self) -> Record {
        let executions = self.executions.iter();
        Record {
            executions: executions.map(|(id, n)| (id.clone(), *n)).collect(),
            ..self.record.clone()
        }
    }
}
