//! State that the handles on a fake service share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::errors::Result;

/// `Shared` holds the state of a fake service and wakes readers that wait for changes.
#[derive(Debug, Default)]
pub(crate) struct Shared<S> {
    service: Mutex<S>,
    changes: watch::Sender<u64>,
}

impl<S> Shared<S> {
    /// Locks the service; a test that panicked while it held the lock does not affect others.
    pub(crate) fn lock(&self) -> MutexGuard<'_, S> {
        self.service.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the service and wakes waiting readers.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut S) -> T) -> T {
        let changed = change(&mut self.lock());
        self.changes.send_modify(|count| *count += 1);
        changed
    }

    /// Repeats a read after each change until its result is enough or `wait` is over, and returns the last result.
    pub(crate) async fn read_until<P>(
        &self,
        wait: Duration,
        mut read: impl FnMut(&mut S) -> Result<P>,
        is_enough: impl Fn(&P) -> bool,
    ) -> Result<P> {
        let deadline = Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let page = read(&mut self.lock())?;
            // The sender lives as long as `self`, so `changed` never fails and only the deadline ends the wait.
            if is_enough(&page) || timeout_at(deadline, changes.changed()).await.is_err() {
                return Ok(page);
            }
        }
    }
}
