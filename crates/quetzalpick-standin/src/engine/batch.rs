//! Running batch and its priority queue.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// `Batch` limits the number of concurrent requests and admits waiting ones by priority, then by arrival.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: u32,
    waiting_max: usize,
    queue: Mutex<Queue>,
}

/// `Queue` counts the running requests and holds the waiting ones.
#[derive(Debug, Default)]
struct Queue {
    running: u32,
    arrivals: u64,
    waiting: Vec<Waiter>,
}

/// `Waiter` holds the priority of a waiting request and the sender of its slot.
#[derive(Debug)]
struct Waiter {
    priority: u32,
    arrival: u64,
    slot: oneshot::Sender<Slot>,
}

/// `Slot` allows one request to run; dropping it passes it on to the next waiting request.
#[derive(Debug)]
pub(crate) struct Slot(Arc<Batch>);

impl Batch {
    /// Creates an empty batch.
    pub(crate) fn new(slots: u32, waiting_max: usize) -> Self {
        Self {
            slots: slots.max(1),
            waiting_max,
            queue: Mutex::default(),
        }
    }

    /// Waits for a slot; priority 0 is the most urgent. Returns `None` if the queue is full.
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

    /// Returns the number of running and of waiting requests.
    pub(crate) fn load(&self) -> (u32, u32) {
        let queue = self.lock();
        let waiting = u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX);
        (queue.running, waiting)
    }

    /// Locks the queue and removes the requests whose callers have disconnected.
    fn lock(&self) -> MutexGuard<'_, Queue> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.waiting.retain(|waiter| !waiter.slot.is_closed());
        queue
    }

    /// Removes the most urgent request from the queue; if none waits, marks the slot as free and returns `None`.
    fn release_slot(&self) -> Option<Waiter> {
        let mut queue = self.lock();
        let waiting = queue.waiting.iter().enumerate();
        let first = waiting.min_by_key(|(_, waiter)| (waiter.priority, waiter.arrival));
        let Some((index, _)) = first else {
            queue.running -= 1;
            return None;
        };
        Some(queue.waiting.swap_remove(index))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(waiter) = self.0.release_slot() {
            // If that caller has disconnected meanwhile, the returned slot is dropped and goes to the next request.
            drop(waiter.slot.send(Slot(Arc::clone(&self.0))));
        }
    }
}
