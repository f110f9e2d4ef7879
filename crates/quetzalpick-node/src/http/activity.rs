//! Which connections of a server are idle, and since when.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Smallest number of connections at which those that have ended are removed.
const CLEANUP_MIN: usize = 64;

/// `Activities` holds the activity of each open connection.
#[derive(Debug, Default)]
pub(super) struct Activities {
    state: Mutex<State>,
}

/// `State` lists connections, of which some may have ended.
#[derive(Debug, Default)]
struct State {
    connections: Vec<Weak<Activity>>,
    /// Number of connections at which those that have ended are removed.
    cleanup_at: usize,
}

/// `Activity` tells whether a connection has a request in progress whose answer has not begun, and stops it.
#[derive(Debug)]
pub(super) struct Activity {
    /// Time since which it is idle; `None` while a request is in progress.
    idle_since: Mutex<Option<Instant>>,
    stop: CancellationToken,
}

/// `Busy` marks a connection as busy until it is dropped.
#[derive(Debug)]
pub(super) struct Busy<'a> {
    activity: &'a Activity,
}

impl Activities {
    /// Adds a connection, which stops with the token.
    pub(super) fn add(&self, stop: CancellationToken) -> Arc<Activity> {
        let activity = Arc::new(Activity {
            idle_since: Mutex::new(Some(Instant::now())),
            stop,
        });
        let mut state = lock(&self.state);
        if state.connections.len() >= state.cleanup_at {
            state.remove_ended();
        }
        state.connections.push(Arc::downgrade(&activity));
        activity
    }

    /// Stops the connection that is idle the longest, if any is idle. One on which an answer is still sent ends behind that.
    pub(super) fn close_idle(&self) {
        let state = lock(&self.state);
        let open = state.connections.iter().filter_map(Weak::upgrade);
        let idle = open.filter(|activity| !activity.stop.is_cancelled());
        let idle = idle.filter_map(|activity| Some((activity.idle_since()?, activity)));
        if let Some((_, activity)) = idle.min_by_key(|(since, _)| *since) {
            activity.stop.cancel();
        }
    }
}

impl State {
    fn remove_ended(&mut self) {
        self.connections
            .retain(|connection| connection.strong_count() > 0);
        self.cleanup_at = (2 * self.connections.len()).max(CLEANUP_MIN);
    }
}

impl Activity {
    /// Marks the connection as busy.
    pub(super) fn begin_request(&self) -> Busy<'_> {
        *lock(&self.idle_since) = None;
        Busy { activity: self }
    }

    /// Waits until the connection is to stop.
    pub(super) async fn stopped(&self) {
        self.stop.cancelled().await;
    }

    fn idle_since(&self) -> Option<Instant> {
        *lock(&self.idle_since)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        *lock(&self.activity.idle_since) = Some(Instant::now());
    }
}

/// Locks a mutex; what it guards is valid also if another thread has panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
