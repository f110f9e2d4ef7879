//! The memory that a process has for what it holds of bodies and answers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Bytes, BytesMut};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use quetzalpick_core::memory::{Budget, Grant, Holder, Kind, Taken, Usage};
use quetzalpick_core::table::Table;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Bytes for the listeners of a process that sets no limit.
const DEFAULT_LIMIT_BYTES: u64 = 128 << 20;

/// `Memory` gives bytes to transfers within a limit; clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    shared: Arc<Shared>,
    /// What its reservations are for.
    kind: Kind,
}

#[derive(Debug)]
struct Shared {
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    /// Tells holders that they lost their bytes.
    losses: Table<Holder, CancellationToken>,
}

/// `Reservation` holds bytes of a memory until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    holder: Holder,
    lost: CancellationToken,
}

/// `Owner` owns bytes, and what is reserved for them until the last reference to them is dropped.
struct Owner {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// `Buffered` holds bytes of an answer until it is dropped.
#[derive(Debug)]
pub struct Buffered {
    memory: Memory,
    taken: Taken,
}

impl Drop for Buffered {
    fn drop(&mut self) {
        let taken = std::mem::take(&mut self.taken);
        self.memory.lock().budget.unbuffer(taken);
    }
}

impl Default for Memory {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT_BYTES)
    }
}

impl Memory {
    /// Creates a memory of a number of bytes.
    pub fn new(limit_bytes: u64) -> Self {
        let state = State {
            budget: Budget::new(limit_bytes),
            losses: Table::default(),
        };
        Self {
            shared: Arc::new(Shared {
                start: Instant::now(),
                state: Mutex::new(state),
            }),
            kind: Kind::Body,
        }
    }

    /// Returns the same memory for reservations of a kind.
    #[must_use]
    pub fn of_kind(&self, kind: Kind) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            kind,
        }
    }

    /// Reserves bytes for a transfer that begins; `None` if they are short.
    pub fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let grant = state.budget.open_as(now_ms, self.kind, bytes)?;
        let lost = CancellationToken::new();
        state.losses.insert(grant.holder, lost.clone());
        state.notify(&grant);
        let memory = self.clone();
        Some(Reservation {
            memory,
            holder: grant.holder,
            lost,
        })
    }

    /// Takes bytes for an answer that is not read yet, if enough is left for bodies.
    pub fn buffer(&self, bytes: u64) -> Option<Buffered> {
        let taken = self.lock().budget.buffer(bytes)?;
        let memory = self.clone();
        Some(Buffered { memory, taken })
    }

    /// Returns the number of bytes that it gives out.
    pub fn limit_bytes(&self) -> u64 {
        self.lock().budget.limit_bytes()
    }

    /// Returns what is held, and what was refused.
    pub fn usage(&self) -> Usage {
        self.lock().budget.usage()
    }

    /// Registers metrics of what is held and refused.
    pub fn register_metrics(&self, meter: &Meter) {
        let gauge = |name: &'static str, text: &'static str, value: fn(Usage) -> u64| {
            let memory = self.clone();
            meter
                .u64_observable_gauge(name)
                .with_description(text)
                .with_callback(move |gauge| gauge.observe(value(memory.usage()), &[]))
                .build();
        };
        gauge(
            "quetzalpick_memory_held_bytes",
            "Bytes reserved for bodies and answers above 16 KB and for unread answers.",
            |usage| usage.held_bytes,
        );
        gauge(
            "quetzalpick_memory_peak_bytes",
            "Largest number of bytes reserved at once.",
            |usage| usage.peak_bytes,
        );
        let counter = |reason: &'static str, value: fn(Usage) -> u64| {
            let memory = self.clone();
            let reason = [KeyValue::new("reason", reason)];
            meter
                .u64_observable_counter("quetzalpick_memory_refusals")
                .with_description("Requests for bytes that were refused or lost them, by reason.")
                .with_callback(move |counter| counter.observe(value(memory.usage()), &reason))
                .build();
        };
        counter("short", |usage| usage.refused);
        counter("stalled", |usage| usage.evicted);
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.shared.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Locks the state, which is valid also if another thread has panicked.
    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells the holders that lost their bytes.
    fn notify(&mut self, grant: &Grant) {
        for holder in &grant.evicted {
            if let Some(lost) = self.losses.remove(holder) {
                lost.cancel();
            }
        }
    }
}

impl Reservation {
    /// Reserves more bytes; returns whether there were any.
    #[must_use]
    pub fn grow(&self, bytes: u64) -> bool {
        let now_ms = self.memory.now_ms();
        let mut state = self.memory.lock();
        let grant = state.budget.grow(now_ms, self.holder, bytes);
        grant.iter().for_each(|grant| state.notify(grant));
        grant.is_some()
    }

    /// Returns what is reserved above a number of bytes.
    pub fn shrink_to(&self, bytes: u64) {
        self.memory.lock().budget.shrink_to(self.holder, bytes);
    }

    /// Records bytes that arrived.
    pub fn record(&self, arrived: u64) {
        let now_ms = self.memory.now_ms();
        let mut state = self.memory.lock();
        state.budget.record(now_ms, self.holder, arrived);
    }

    /// Marks the transfer as complete; returns whether the bytes are still reserved, and they stay so then.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.memory.lock().budget.complete(self.holder)
    }

    /// Returns bytes that keep the reservation until their last reference is dropped.
    pub fn attach(self, bytes: BytesMut) -> Bytes {
        Bytes::from_owner(Owner {
            bytes,
            _reservation: self,
        })
    }

    /// Returns whether the bytes are lost to others.
    pub fn is_lost(&self) -> bool {
        self.lost.is_cancelled()
    }

    /// Waits until the bytes are lost to others.
    pub async fn lost(&self) {
        self.lost.cancelled().await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.close(self.holder);
        state.losses.remove(&self.holder);
    }
}
