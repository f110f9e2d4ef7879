//! Admission: limits the requests in flight for each model and queues the others fairly.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quetzalpick_core::admit::{Options, Queue, Waiter};
use quetzalpick_core::id::{Artifact, Workspace};
use quetzalpick_core::table::Table;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::api::refusal::{Kind, Refusal};
use crate::clock::Clock;

/// `Admission` limits the requests in flight and holds the queue of each model.
#[derive(Debug)]
pub(crate) struct Admission {
    clock: Clock,
    options: Options,
    queues: Mutex<Table<Artifact, ModelQueue>>,
}

/// `ModelQueue` holds the queued requests of one model and counts those in flight.
#[derive(Debug)]
struct ModelQueue {
    queue: Queue<oneshot::Sender<()>>,
    in_flight: usize,
    limit: usize,
}

/// `AdmissionRequest` describes a request to admission: its model, its charge, and how long it may wait.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionRequest {
    /// Model that serves the request.
    pub(crate) model: Artifact,
    /// Workspace that is charged.
    pub(crate) workspace: Workspace,
    /// Tokens charged.
    pub(crate) tokens: u64,
    /// Maximum number of requests in flight for the model.
    pub(crate) limit: usize,
    /// Maximum wait in the queue.
    pub(crate) wait: Duration,
}

/// `Permit` counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Arc<Admission>,
    model: Artifact,
    workspace: Workspace,
    unused: u64,
}

/// `QueuedRequest` represents a request in a queue; dropping it ends the wait and releases a permit granted meanwhile.
struct QueuedRequest {
    admission: Arc<Admission>,
    model: Artifact,
    granted: oneshot::Receiver<()>,
    /// Whether the permit was handed to the request.
    admitted: bool,
}

impl ModelQueue {
    /// Grants permits to queued requests up to the limit.
    fn grant_permits(&mut self, now_ms: u64) {
        while self.in_flight < self.limit {
            let Some(waiter) = self.queue.pop(now_ms) else {
                return;
            };
            // A request whose caller has disconnected uses no permit.
            if waiter.value.send(()).is_ok() {
                self.in_flight += 1;
            }
        }
    }

    /// Counts a request as no longer in flight and grants its permit to the next one.
    fn release(&mut self, now_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.grant_permits(now_ms);
    }
}

impl Admission {
    /// Creates an `Admission` without queues.
    pub(crate) fn new(clock: Clock, options: Options) -> Self {
        Self {
            clock,
            options,
            queues: Mutex::default(),
        }
    }

    /// Locks the queues; a poisoned lock is still used, because each change leaves them consistent.
    fn lock(&self) -> MutexGuard<'_, Table<Artifact, ModelQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the queue of a model, which is created if it does not exist.
    fn with_queue<R>(&self, model: &Artifact, change: impl FnOnce(&mut ModelQueue, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        let mut queues = self.lock();
        let new_queue = || ModelQueue {
            queue: Queue::new(self.options.clone()),
            in_flight: 0,
            limit: 0,
        };
        change(queues.get_or_insert_with(model.clone(), new_queue), now_ms)
    }

    /// Waits until a request may be sent to an endpoint.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `not-run`, immediately if the queue is full or the wait would be too long.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: AdmissionRequest,
    ) -> Result<Permit, Refusal> {
        let (grant, granted) = oneshot::channel();
        let wait_ms = request.wait.as_millis() as u64;
        let queued = self.with_queue(&request.model, |model_queue, now_ms| {
            model_queue.limit = request.limit;
            let waiter = Waiter {
                workspace: request.workspace.clone(),
                priority: 0,
                tokens: request.tokens,
                deadline_ms: now_ms.saturating_add(wait_ms),
                value: grant,
            };
            let queued = model_queue.queue.push(now_ms, waiter);
            model_queue.grant_permits(now_ms);
            queued.map_err(|refusal| (refusal.cause, refusal.retry_after_ms))
        });
        queued.map_err(|(cause, after_ms)| overloaded(cause, after_ms))?;
        let mut queued_request = QueuedRequest {
            admission: Arc::clone(self),
            model: request.model.clone(),
            granted,
            admitted: false,
        };
        match timeout(request.wait, &mut queued_request.granted).await {
            Ok(Ok(())) => {
                queued_request.admitted = true;
                Ok(Permit {
                    admission: Arc::clone(self),
                    model: request.model,
                    workspace: request.workspace,
                    unused: 0,
                })
            }
            _ => Err(overloaded("late", wait_ms)),
        }
    }
}

/// Returns the refusal of a request that was not admitted.
fn overloaded(cause: impl std::fmt::Display, after_ms: u64) -> Refusal {
    let message = format!("too many requests wait for this model ({cause})");
    Refusal::not_run(Kind::OverloadedError, message)
        .with_retry_after(Duration::from_millis(after_ms))
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.admitted {
            return;
        }
        // The channel is closed first, so that `cancel` finds and removes this request.
        self.granted.close();
        let unused_grant = self.granted.try_recv().is_ok();
        self.admission
            .with_queue(&self.model, |model_queue, now_ms| {
                model_queue.queue.cancel(|grant| grant.is_closed());
                if unused_grant {
                    model_queue.release(now_ms);
                }
            });
    }
}

impl Permit {
    /// Sets the number of charged tokens that were not used.
    pub(crate) fn settle(&mut self, unused: u64) {
        self.unused = unused;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission
            .with_queue(&self.model, |model_queue, now_ms| {
                model_queue.queue.settle(&self.workspace, self.unused);
                model_queue.release(now_ms);
            });
    }
}
