//! The balancer before the gates: it passes over a gate that took no connection a moment ago.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which a gate that took no connection is passed over.
const DOWN: Duration = Duration::from_secs(1);

/// `Balancer` remembers which gates took no connection.
#[derive(Debug)]
pub(crate) struct Balancer {
    failed: Mutex<Vec<Option<Instant>>>,
}

impl Balancer {
    /// Makes a balancer for so many gates.
    pub(crate) fn new(gates: usize) -> Self {
        Self {
            failed: Mutex::new(vec![None; gates]),
        }
    }

    /// Returns all gates in the order to try them: from `first` on, those that failed a moment ago last.
    pub(crate) fn order(&self, first: usize) -> Vec<usize> {
        let failed = self.lock();
        let is_down = |gate: &usize| failed[*gate].is_some_and(|at| at.elapsed() < DOWN);
        let all = (0..failed.len()).map(|step| (first + step) % failed.len());
        let (down, up): (Vec<usize>, Vec<usize>) = all.partition(is_down);
        up.into_iter().chain(down).collect()
    }

    /// Notes that a gate took no connection.
    pub(crate) fn failed(&self, gate: usize) {
        self.lock()[gate] = Some(Instant::now());
    }

    /// Locks the times, which are whole after each change.
    fn lock(&self) -> MutexGuard<'_, Vec<Option<Instant>>> {
        self.failed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
