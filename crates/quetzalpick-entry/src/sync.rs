//! Access to state that tasks share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic of a task that held it: all state is valid between two statements.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
