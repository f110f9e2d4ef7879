//! Bookings and their execution counts.

use std::sync::{Mutex, MutexGuard, PoisonError};

use quetzalpick_core::table::Table;
use serde::Serialize;

use crate::recorded::RecordedRequests;

/// `Record` reports what a service received and did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Executions by order, sorted.
    pub executions: Vec<(String, u32)>,
    /// Headers and queries received.
    #[serde(rename = "seen")]
    pub requests: RecordedRequests,
}

impl Record {
    /// Returns the number of executions of an order.
    pub fn executions_of(&self, order: &str) -> u32 {
        let rows = &self.executions;
        let index = rows.binary_search_by(|(o, _)| o.as_str().cmp(order));
        index.map_or(0, |index| rows[index].1)
    }
}

/// `Bookings` counts the executions of each order.
#[derive(Debug, Default)]
pub(crate) struct Bookings {
    executions: Mutex<Table<String, u32>>,
}

impl Bookings {
    /// Executes an order and returns the number of its executions, this one included.
    pub(crate) fn execute(&self, order: &str) -> u32 {
        let mut executions = self.lock();
        let count = executions.get_or_insert_with(order.to_owned(), || 0);
        *count += 1;
        *count
    }

    /// Returns the number of executions of an order.
    pub(crate) fn count(&self, order: &str) -> u32 {
        self.lock().get(order).copied().unwrap_or(0)
    }

    /// Returns the execution counts of all orders, sorted by order.
    pub(crate) fn all(&self) -> Vec<(String, u32)> {
        let executions = self.lock();
        executions.iter().map(|(o, n)| (o.clone(), *n)).collect()
    }

    /// Locks the counts; a poisoned lock is usable because each change leaves them consistent.
    fn lock(&self) -> MutexGuard<'_, Table<String, u32>> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
