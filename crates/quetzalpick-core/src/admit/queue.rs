//! The queue of one model.

use crate::admit::lane::Lane;
use crate::admit::speed::Speed;
use crate::admit::{Cause, Refusal, Waiter};
use crate::id::Workspace;
use crate::table::Table;

/// Shortest time after which a refused caller is told to come back, in ms.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// `Options` bound a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Most requests waiting.
    pub capacity: usize,
    /// Most requests of one workspace waiting.
    pub workspace_capacity: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 1_024,
            workspace_capacity: 512,
        }
    }
}

/// `Queue` holds the requests that wait for one model and hands them out fairly between workspaces.
///
/// It is start-time fair queuing by tokens: the workspace whose next request has the smallest virtual start time is
/// served, and each request moves its workspace's start on by its tokens. Priorities order the requests of one workspace
/// only, so that no workspace can pass others by calling everything urgent.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    options: Options,
    lanes: Table<Workspace, Lane<T>>,
    /// Virtual time: the start of the request dispatched last.
    clock: u64,
    speed: Speed,
    len: usize,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            lanes: Table::default(),
            clock: 0,
            speed: Speed::default(),
            len: 0,
        }
    }

    /// Takes a request, and returns the expected wait in ms.
    ///
    /// # Errors
    ///
    /// The request with a `Refusal` if the queue is full or the expected wait exceeds the deadline.
    pub fn push(&mut self, now_ms: u64, waiter: Waiter<T>) -> Result<u64, Box<Refusal<T>>> {
        let wait_ms = self.expected_wait_ms(&waiter.workspace, waiter.priority);
        if self.is_full_for(&waiter.workspace) {
            return Err(refuse(waiter, Cause::Full, wait_ms));
        }
        let left_ms = waiter.deadline_ms.saturating_sub(now_ms);
        if wait_ms >= left_ms {
            return Err(refuse(waiter, Cause::Late, wait_ms - left_ms));
        }
        let clock = self.clock;
        let lane = self
            .lanes
            .get_or_insert_with(waiter.workspace.clone(), || Lane::new(clock));
        // A workspace saves up nothing while it has no requests.
        if lane.is_empty() {
            lane.start = lane.start.max(clock);
        }
        lane.push(waiter);
        self.len += 1;
        self.speed.start(now_ms);
        Ok(wait_ms)
    }

    /// Returns the request that is to be dispatched next; requests past their deadline are left to `expire`.
    pub fn pop(&mut self, now_ms: u64) -> Option<Waiter<T>> {
        let lanes = self.lanes.iter_mut();
        let ready = lanes.filter(|(_, lane)| lane.is_ready(now_ms));
        let (_, lane) = ready.min_by_key(|(_, lane)| lane.start)?;
        let waiter = lane.pop(now_ms)?;
        self.clock = self.clock.max(lane.start);
        lane.start = lane.start.saturating_add(waiter.tokens.max(1));
        self.len -= 1;
        self.speed.dispatch(now_ms, waiter.tokens);
        self.tidy();
        Some(waiter)
    }

    /// Removes and returns the requests that can no longer be dispatched in time; they are answered at once.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Waiter<T>> {
        self.remove(|waiter| waiter.deadline_ms <= now_ms)
    }

    /// Removes and returns the requests for which the predicate holds, such as those whose caller is gone.
    pub fn cancel(&mut self, mut gone: impl FnMut(&T) -> bool) -> Vec<Waiter<T>> {
        self.remove(|waiter| gone(&waiter.value))
    }

    /// Credits a workspace with tokens that a dispatched request was charged and did not use.
    pub fn settle(&mut self, workspace: &Workspace, unused: u64) {
        let clock = self.clock;
        if let Some(lane) = self.lanes.get_mut(workspace) {
            lane.start = lane.start.saturating_sub(unused).max(clock);
        }
    }

    /// Returns the earliest deadline of a waiting request, in ms.
    pub fn next_deadline(&self) -> Option<u64> {
        let waiters = self.lanes.values().flat_map(Lane::waiters);
        waiters.map(|waiter| waiter.deadline_ms).min()
    }

    /// Returns the expected wait of a further request of a workspace and priority, in ms.
    ///
    /// Others are served before it as far as fairness lets them: each workspace that waits gets at most as many tokens as
    /// the virtual time until the request's start allows.
    pub fn expected_wait_ms(&self, workspace: &Workspace, priority: u8) -> u64 {
        let lane = self.lanes.get(workspace);
        let own = lane.map_or(0, |lane| lane.ahead(priority));
        let begin = lane.map_or(self.clock, |lane| lane.start.max(self.clock));
        let start = begin.saturating_add(own);
        let others = self.lanes.iter().filter(|(name, _)| *name != workspace);
        let ahead = |lane: &Lane<T>| lane.backlog().min(start.saturating_sub(lane.start));
        let others: u64 = others.map(|(_, lane)| ahead(lane)).sum();
        self.speed.time_ms(own.saturating_add(others))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn is_full_for(&self, workspace: &Workspace) -> bool {
        let own = self.lanes.get(workspace).map_or(0, Lane::len);
        self.len >= self.options.capacity || own >= self.options.workspace_capacity
    }

    fn remove(&mut self, mut gone: impl FnMut(&Waiter<T>) -> bool) -> Vec<Waiter<T>> {
        let mut out = Vec::new();
        for (_, lane) in self.lanes.iter_mut() {
            lane.remove(&mut gone, &mut out);
        }
        self.len -= out.len();
        self.tidy();
        out
    }

    /// Forgets idle workspaces that virtual time has caught up with, and ends the busy period when nothing waits.
    fn tidy(&mut self) {
        let clock = self.clock;
        self.lanes
            .retain(|_, lane| !lane.is_empty() || lane.start > clock);
        if self.len == 0 {
            self.lanes = Table::default();
            self.speed.stop();
        }
    }
}

/// Builds a refusal; the caller comes back when what is ahead has been served.
fn refuse<T>(waiter: Waiter<T>, cause: Cause, wait_ms: u64) -> Box<Refusal<T>> {
    Box::new(Refusal {
        waiter,
        cause,
        retry_after_ms: wait_ms.max(RETRY_AFTER_MIN_MS),
    })
}
