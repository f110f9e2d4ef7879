//! The load balancer in front of the gates, which avoids gates that recently refused a connection.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which a gate that refused a connection comes last in the order of attempts.
const COOLDOWN: Duration = Duration::from_secs(1);

/// `Balancer` tracks when each gate last refused a connection and orders the gates accordingly.
#[derive(Debug)]
pub(crate) struct Balancer {
    last_failures: Mutex<Vec<Option<Instant>>>,
}

impl Balancer {
    /// Creates a balancer for this number of gates.
    pub(crate) fn new(gates: usize) -> Self {
        Self {
            last_failures: Mutex::new(vec![None; gates]),
        }
    }

    /// Returns all gates in the order of attempts: from `first` on, with gates that failed recently at the end.
    pub(crate) fn attempt_order(&self, first: usize) -> Vec<usize> {
        let last_failures = self.lock();
        let is_down =
            |gate: &usize| last_failures[*gate].is_some_and(|time| time.elapsed() < COOLDOWN);
        let all = (0..last_failures.len()).map(|step| (first + step) % last_failures.len());
        let (down, up): (Vec<usize>, Vec<usize>) = all.partition(is_down);
        up.into_iter().chain(down).collect()
    }

    /// Records that a gate refused a connection.
    pub(crate) fn record_failure(&self, gate: usize) {
        self.lock()[gate] = Some(Instant::now());
    }

    /// Locks the times; a poisoned lock is usable because each change is a single assignment.
    fn lock(&self) -> MutexGuard<'_, Vec<Option<Instant>>> {
        self.last_failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
