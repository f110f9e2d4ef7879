//! What the handles on a fake service have in common.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::errors::Result;

/// `Hub` holds a fake service and wakes those who wait for changes of it.
#[derive(Debug, Default)]
pub(crate) struct Hub<S> {
    service: Mutex<S>,
    changes: watch::Sender<u64>,
}

impl<S> Hub<S> {
    /// Locks the service; a test that panicked with the lock held does not matter to others.
    pub(crate) fn lock(&self) -> MutexGuard<'_, S> {
        self.service.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the service and wakes the readers that wait.
    pub(crate) fn switch<T>(&self, change: impl FnOnce(&mut S) -> T) -> T {
        let changed = change(&mut self.lock());
        self.changes.send_modify(|count| *count += 1);
        changed
    }

    /// Reads pages until one is enough or the time to wait is over, and returns the last.
    pub(crate) async fn wait<P>(
        &self,
        wait: Duration,
        mut page: impl FnMut(&mut S) -> Result<P>,
        is_enough: impl Fn(&P) -> bool,
    ) -> Result<P> {
        let deadline = Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let read = page(&mut self.lock())?;
            // The sender lives as long as the hub, so only the deadline ends the waiting early.
            if is_enough(&read) || timeout_at(deadline, changes.changed()).await.is_err() {
                return Ok(read);
            }
        }
    }
}
