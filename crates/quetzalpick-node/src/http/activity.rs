//! Which connections of a server are idle, and since when.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Smallest number of connections at which those that have ended are removed.
const CLEANUP_MIN: usize = 64;

/// Time for a caller to take the end of an answer that the connection still holds.
const ANSWER_TAIL_TIME: Duration = Duration::from_secs(10);

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
    /// Whether an answer is being sent.
    is_answering: AtomicBool,
    /// Whether an answer was sent before.
    has_answered: AtomicBool,
    /// Cancelled if it is stopped so that others find room.
    displaced: CancellationToken,
    stop: CancellationToken,
}

/// `Answer` wraps the body of an answer, and marks its connection as answering until it is dropped.
#[derive(Debug)]
pub(super) struct Answer<B> {
    body: B,
    activity: Arc<Activity>,
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
            is_answering: AtomicBool::new(false),
            has_answered: AtomicBool::new(false),
            displaced: CancellationToken::new(),
            stop,
        });
        let mut state = lock(&self.state);
        if state.connections.len() >= state.cleanup_at {
            state.remove_ended();
        }
        state.connections.push(Arc::downgrade(&activity));
        activity
    }

    /// Stops the connection that is idle the longest, if any is idle. One on which an answer is still being sent comes last, and
    /// ends after that answer.
    pub(super) fn close_idle(&self) {
        let state = lock(&self.state);
        let open = state.connections.iter().filter_map(Weak::upgrade);
        let idle = open.filter(|activity| !activity.stop.is_cancelled());
        let idle = idle.filter_map(|activity| Some((activity.idle_since()?, activity)));
        let order = |(since, activity): &(Instant, Arc<Activity>)| {
            (activity.is_answering.load(Ordering::Relaxed), *since)
        };
        if let Some((_, activity)) = idle.min_by_key(order) {
            activity.displaced.cancel();
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

    /// Marks the connection as answering as long as this body exists.
    pub(super) fn begin_answer<B>(self: &Arc<Self>, body: B) -> Answer<B> {
        self.is_answering.store(true, Ordering::Relaxed);
        let activity = Arc::clone(self);
        Answer { body, activity }
    }

    /// Waits until the connection is stopped so that others find room.
    pub(super) async fn displaced(&self) {
        self.displaced.cancelled().await;
    }

    /// Returns whether the connection has at most a part of a head, and has sent its last answer, if any.
    pub(super) fn is_waiting(&self) -> bool {
        if self.is_answering.load(Ordering::Relaxed) {
            return false;
        }
        let has_answered = self.has_answered.load(Ordering::Relaxed);
        let since = self.idle_since();
        since.is_some_and(|since| !has_answered || since.elapsed() >= ANSWER_TAIL_TIME)
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

impl<B: Body + Unpin> Body for Answer<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for Answer<B> {
    fn drop(&mut self) {
        *lock(&self.activity.idle_since) = Some(Instant::now());
        self.activity.has_answered.store(true, Ordering::Relaxed);
        self.activity.is_answering.store(false, Ordering::Relaxed);
    }
}

/// Locks a mutex; what it guards is valid also if another thread has panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
