//! Bytes of a stream that wait for the end of their event, and the memory reserved for them.

use std::future::pending;

use bytes::{Bytes, BytesMut};
use quetzalpick_core::memory::Kind;
use quetzalpick_node::http::memory::{Memory, Reservation};

/// Bytes of each stream that need no reservation; the limit of connections covers them.
const FREE_BYTES: usize = 16 * 1024;

/// Most bytes of an event for which memory is reserved ahead.
const AHEAD_MAX_BYTES: usize = 256 * 1024;

/// Smallest allocation for short events, in bytes.
const ALLOCATED_MIN_BYTES: usize = 1024;

/// Bytes that are recorded at once, so that tiny chunks cost little.
const RECORDED_BYTES: usize = 4 * 1024;

/// `MemoryShort` states that the process has no memory for the bytes of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemoryShort;

/// `Pending` collects bytes up to the ends of events; what it keeps from one read to the next is reserved, or short.
#[derive(Debug)]
pub(crate) struct Pending {
    memory: Memory,
    bytes: BytesMut,
    /// Size of the allocation that `bytes` is a part of, in bytes.
    allocated: usize,
    reservation: Option<Reservation>,
    /// Bytes that arrived and are not recorded in the reservation yet.
    unrecorded: usize,
}

impl Pending {
    /// Creates an empty one.
    pub(crate) fn new(memory: &Memory) -> Self {
        Self {
            memory: memory.of_kind(Kind::Event),
            bytes: BytesMut::new(),
            allocated: 0,
            reservation: None,
            unrecorded: 0,
        }
    }

    /// Returns the bytes.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Adds bytes; what is left of them once complete events are taken has to be kept by `keep`.
    ///
    /// # Errors
    ///
    /// `MemoryShort` if they belong to a long event and memory for it is short.
    pub(crate) fn extend(&mut self, bytes: &[u8]) -> Result<(), MemoryShort> {
        let needed = self.bytes.len() + bytes.len();
        if self.reservation.is_some() {
            self.reserve(needed)?;
            self.record(bytes.len());
        } else if !self.bytes.try_reclaim(bytes.len()) {
            self.allocate(needed.max(ALLOCATED_MIN_BYTES));
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the first bytes, which are passed on; those of a long event stay reserved until they are dropped.
    pub(crate) fn take(&mut self, length: usize) -> Bytes {
        let Some(reservation) = self.reservation.take() else {
            return self.split(length);
        };
        self.unrecorded = 0;
        let mut bytes = std::mem::take(&mut self.bytes);
        self.allocated = bytes.len() - length;
        self.bytes.extend_from_slice(&bytes[length..]);
        bytes.truncate(length);
        // What was lost in this moment is passed on nevertheless: it is on its way out.
        let _ = reservation.complete();
        reservation.attach(bytes)
    }

    /// Splits off the first bytes; a few of a large allocation are copied, so that they do not keep all of it.
    fn split(&mut self, length: usize) -> Bytes {
        let bytes = self.bytes.split_to(length);
        if self.allocated > FREE_BYTES && length < self.allocated / 2 {
            return Bytes::copy_from_slice(&bytes);
        }
        bytes.freeze()
    }

    /// Keeps what is left for the next bytes, and reserves memory for it if it is long.
    ///
    /// # Errors
    ///
    /// `MemoryShort` if memory for it is short.
    pub(crate) fn keep(&mut self) -> Result<(), MemoryShort> {
        if self.reservation.is_some() || self.allocated <= FREE_BYTES {
            return Ok(());
        }
        if self.bytes.len() > FREE_BYTES {
            return self.reserve(self.bytes.len());
        }
        self.allocate(self.bytes.len());
        Ok(())
    }

    /// Drops the bytes, and gives back their memory.
    pub(crate) fn clear(&mut self) {
        *self = Self::new(&self.memory);
    }

    /// Waits until the memory of a long event is given to others.
    pub(crate) async fn lost(&self) {
        match &self.reservation {
            Some(reservation) => reservation.lost().await,
            None => pending().await,
        }
    }

    /// Enlarges the allocation of a long event so that it holds its bytes, mostly to a power of two, and reserves memory for that first.
    fn reserve(&mut self, needed: usize) -> Result<(), MemoryShort> {
        let allocated = needed.next_power_of_two().min(AHEAD_MAX_BYTES).max(needed);
        let Some(reservation) = &self.reservation else {
            let reservation = self.memory.reserve(allocated as u64);
            self.reservation = Some(reservation.ok_or(MemoryShort)?);
            self.allocate(allocated);
            return Ok(());
        };
        if needed <= self.allocated {
            return Ok(());
        }
        // Both allocations exist while one is copied.
        if !reservation.grow(allocated as u64) {
            return Err(MemoryShort);
        }
        reservation.shrink_to(allocated as u64);
        self.allocate(allocated);
        Ok(())
    }

    /// Copies the bytes into an allocation of a size.
    fn allocate(&mut self, allocated: usize) {
        let former = std::mem::replace(&mut self.bytes, BytesMut::with_capacity(allocated));
        self.bytes.extend_from_slice(&former);
        self.allocated = allocated;
    }

    /// Records bytes that arrived.
    fn record(&mut self, arrived: usize) {
        self.unrecorded += arrived;
        if self.unrecorded >= RECORDED_BYTES
            && let Some(reservation) = &self.reservation
        {
            reservation.record(self.unrecorded as u64);
            self.unrecorded = 0;
        }
    }
}
