//! Bookings and how often each was made.

use std::sync::{Mutex, MutexGuard, PoisonError};

use quetzalpick_core::table::Table;
use serde::Serialize;

use crate::seen::Seen;

/// `Record` is everything that a service recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Executions by order, sorted.
    pub executions: Vec<(String, u32)>,
    /// Headers and queries that arrived.
    pub seen: Seen,
}

impl Record {
    /// Returns how often an order ran.
    pub fn executions_of(&self, order: &str) -> u32 {
        let rows = &self.executions;
        let at = rows.binary_search_by(|(o, _)| o.as_str().cmp(order));
        at.map_or(0, |at| rows[at].1)
    }
}

/// `Bookings` counts executions by order.
#[derive(Debug, Default)]
pub(crate) struct Bookings {
    executions: Mutex<Table<String, u32>>,
}

impl Bookings {
    /// Runs an order and returns how often it has run by now.
    pub(crate) fn execute(&self, order: &str) -> u32 {
        let mut executions = self.lock();
        let count = executions.get_or_insert_with(order.to_owned(), || 0);
        *count += 1;
        *count
    }

    /// Returns how often an order ran.
    pub(crate) fn count(&self, order: &str) -> u32 {
        self.lock().get(order).copied().unwrap_or(0)
    }

    /// Returns the executions by order.
    pub(crate) fn all(&self) -> Vec<(String, u32)> {
        let executions = self.lock();
        executions.iter().map(|(o, n)| (o.clone(), *n)).collect()
    }

    /// Locks the counts, which are whole after each change.
    fn lock(&self) -> MutexGuard<'_, Table<String, u32>> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
