//! The running batch and the queue for it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// `Batch` lets a number of requests run at a time, the most urgent first.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: u32,
    waiting_max: usize,
    queue: Mutex<Queue>,
}

/// `Queue` is who runs and who waits.
#[derive(Debug, Default)]
struct Queue {
    running: u32,
    arrivals: u64,
    waiting: Vec<Waiter>,
}

/// `Waiter` is a request that waits for a slot.
#[derive(Debug)]
struct Waiter {
    priority: u32,
    arrival: u64,
    slot: oneshot::Sender<Slot>,
}

/// `Slot` is a place in the running batch; dropping it gives it to the next request.
#[derive(Debug)]
pub(crate) struct Slot(Arc<Batch>);

impl Batch {
    /// Makes an empty batch.
    pub(crate) fn new(slots: u32, waiting_max: usize) -> Self {
        Self {
            slots: slots.max(1),
            waiting_max,
            queue: Mutex::default(),
        }
    }

    /// Waits for a slot; priority 0 is most urgent. Returns `None` if too many wait already.
    pub(crate) async fn enter(self: &Arc<Self>, priority: u32) -> Option<Slot> {
        let slot = {
            let mut queue = self.lock();
            if queue.running < self.slots {
                queue.running += 1;
                return Some(Slot(Arc::clone(self)));
            }
            if queue.waiting.len() >= self.waiting_max {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            queue.arrivals += 1;
            let arrival = queue.arrivals;
            queue.waiting.push(Waiter {
                priority,
                arrival,
                slot: sender,
            });
            receiver
        };
        slot.await.ok()
    }

    /// Returns how many requests run and how many wait.
    pub(crate) fn load(&self) -> (u32, u32) {
        let queue = self.lock();
        let waiting = u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX);
        (queue.running, waiting)
    }

    /// Locks the queue without the requests whose callers have gone.
    fn lock(&self) -> MutexGuard<'_, Queue> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.waiting.retain(|waiter| !waiter.slot.is_closed());
        queue
    }

    /// Takes the most urgent request out of the queue, or else frees the slot.
    fn next(&self) -> Option<Waiter> {
        let mut queue = self.lock();
        let waiting = queue.waiting.iter().enumerate();
        let first = waiting.min_by_key(|(_, waiter)| (waiter.priority, waiter.arrival));
        let Some((at, _)) = first else {
            queue.running -= 1;
            return None;
        };
        Some(queue.waiting.swap_remove(at))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(waiter) = self.0.next() {
            // If the caller has gone meanwhile, the slot comes back, is dropped and serves the one after it.
            drop(waiter.slot.send(Slot(Arc::clone(&self.0))));
        }
    }
}
