//! Admission: bounds the requests under way for each model and queues the others fairly.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quetzalpick_core::admit::{Options, Queue, Waiter};
use quetzalpick_core::id::{Artifact, Workspace};
use quetzalpick_core::table::Table;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::api::refusal::{Kind, Refusal};
use crate::clock::Clock;

/// `Admission` holds the queue of each model.
#[derive(Debug)]
pub(crate) struct Admission {
    clock: Clock,
    options: Options,
    lanes: Mutex<Table<Artifact, Lane>>,
}

/// `Lane` is the queue of one model.
#[derive(Debug)]
struct Lane {
    queue: Queue<oneshot::Sender<()>>,
    in_flight: usize,
    limit: usize,
}

/// `Demand` is what a request asks of admission.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    /// The model.
    pub(crate) model: Artifact,
    /// The workspace charged.
    pub(crate) workspace: Workspace,
    /// Tokens charged.
    pub(crate) tokens: u64,
    /// Requests that may be under way for the model.
    pub(crate) limit: usize,
    /// Longest wait.
    pub(crate) wait: Duration,
}

/// `Permit` counts one request as under way until it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Arc<Admission>,
    model: Artifact,
    workspace: Workspace,
    unused: u64,
}

/// `Waiting` is a place in a queue; dropping it gives back a permit that was granted meanwhile.
struct Waiting {
    admission: Arc<Admission>,
    model: Artifact,
    granted: oneshot::Receiver<()>,
    taken: bool,
}

impl Lane {
    /// Grants permits to waiting requests as long as the limit allows.
    fn pump(&mut self, now_ms: u64) {
        while self.in_flight < self.limit {
            let Some(waiter) = self.queue.pop(now_ms) else {
                return;
            };
            // A request whose caller is gone takes no permit.
            if waiter.value.send(()).is_ok() {
                self.in_flight += 1;
            }
        }
    }

    /// Takes a request out of the count and grants its permit to the next.
    fn release(&mut self, now_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.pump(now_ms);
    }
}

impl Admission {
    /// Returns an admission without requests.
    pub(crate) fn new(clock: Clock, options: Options) -> Self {
        Self {
            clock,
            options,
            lanes: Mutex::default(),
        }
    }

    /// Locks the queues; a panic elsewhere leaves them usable, as each change is complete in itself.
    fn lock(&self) -> MutexGuard<'_, Table<Artifact, Lane>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the lane of a model.
    fn with<R>(&self, model: &Artifact, change: impl FnOnce(&mut Lane, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        let mut lanes = self.lock();
        let fresh = || Lane {
            queue: Queue::new(self.options.clone()),
            in_flight: 0,
            limit: 0,
        };
        change(lanes.get_or_insert_with(model.clone(), fresh), now_ms)
    }

    /// Waits until a request may be sent.
    ///
    /// # Errors
    ///
    /// A refusal that did not run, at once if the queue is full or the wait would be too long.
    pub(crate) async fn admit(self: &Arc<Self>, demand: Demand) -> Result<Permit, Refusal> {
        let (grant, granted) = oneshot::channel();
        let wait_ms = demand.wait.as_millis() as u64;
        let queued = self.with(&demand.model, |lane, now_ms| {
            lane.limit = demand.limit;
            let waiter = Waiter {
                workspace: demand.workspace.clone(),
                priority: 0,
                tokens: demand.tokens,
                deadline_ms: now_ms.saturating_add(wait_ms),
                value: grant,
            };
            let queued = lane.queue.push(now_ms, waiter);
            lane.pump(now_ms);
            queued.map_err(|refusal| (refusal.cause, refusal.retry_after_ms))
        });
        queued.map_err(|(cause, after_ms)| overloaded(cause, after_ms))?;
        let mut waiting = Waiting {
            admission: Arc::clone(self),
            model: demand.model.clone(),
            granted,
            taken: false,
        };
        match timeout(demand.wait, &mut waiting.granted).await {
            Ok(Ok(())) => {
                waiting.taken = true;
                Ok(Permit {
                    admission: Arc::clone(self),
                    model: demand.model,
                    workspace: demand.workspace,
                    unused: 0,
                })
            }
            _ => Err(overloaded("late", wait_ms)),
        }
    }
}

/// Builds the refusal of a request that was not admitted.
fn overloaded(cause: impl std::fmt::Display, after_ms: u64) -> Refusal {
    let message = format!("too many requests wait for this model ({cause})");
    Refusal::not_run(Kind::OverloadedError, message).after(Duration::from_millis(after_ms))
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        // Closing first makes the queue see that nobody waits here any more.
        self.granted.close();
        let unclaimed = self.granted.try_recv().is_ok();
        self.admission.with(&self.model, |lane, now_ms| {
            lane.queue.cancel(|grant| grant.is_closed());
            if unclaimed {
                lane.release(now_ms);
            }
        });
    }
}

impl Permit {
    /// Notes the tokens that were charged and not used.
    pub(crate) fn settle(&mut self, unused: u64) {
        self.unused = unused;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.with(&self.model, |lane, now_ms| {
            lane.queue.settle(&self.workspace, self.unused);
            lane.release(now_ms);
        });
    }
}
