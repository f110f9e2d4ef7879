//! A body or answer while it is read: its bytes, and the memory reserved for them.

use bytes::{Bytes, BytesMut};

use crate::http::memory::{Memory, Reservation};

/// Bytes of each body that need no reservation; the limit of connections covers them.
const FREE_BYTES: usize = 16 * 1024;

/// Bytes that are recorded at once, so that tiny chunks cost little.
const RECORDED_BYTES: usize = 4 * 1024;

/// `Buffer` collects a body; it never holds more bytes than are reserved, except for a short one.
#[derive(Debug)]
pub struct Buffer {
    /// Memory from which bytes are reserved; `None` if only the longest body limits them.
    memory: Option<Memory>,
    bytes: BytesMut,
    /// Bytes that it may hold, free ones or reserved ones.
    allowed: usize,
    /// Most bytes that the body can have.
    max_bytes: usize,
    reservation: Option<Reservation>,
    /// Bytes that arrived and are not recorded in the reservation yet.
    unrecorded: usize,
}

impl Buffer {
    /// Creates a buffer for a body of an announced length, if one was; `None` if memory is short.
    pub fn try_new(memory: &Memory, announced: Option<usize>, max_bytes: usize) -> Option<Self> {
        let mut buffer = Self::new(Some(memory.clone()), announced, max_bytes);
        let announced = announced.unwrap_or(0);
        if announced > FREE_BYTES {
            buffer.reservation = Some(memory.reserve(announced as u64)?);
            buffer.allowed = announced;
        }
        Some(buffer)
    }

    /// Creates a buffer for an answer, which reserves memory only for what has come, since who announces much need not send it.
    pub fn new(memory: Option<Memory>, announced: Option<usize>, max_bytes: usize) -> Self {
        let max_bytes = announced.map_or(max_bytes, |announced| announced.min(max_bytes));
        // Untouched pages of a large allocation take no memory.
        let capacity = announced.map_or(0, |_| max_bytes);
        Self {
            memory,
            bytes: BytesMut::with_capacity(capacity),
            allowed: FREE_BYTES,
            max_bytes,
            reservation: None,
            unrecorded: 0,
        }
    }

    /// Returns the number of bytes collected.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Waits until its memory is given to others.
    pub async fn lost(&self) {
        match &self.reservation {
            Some(reservation) => reservation.lost().await,
            None => std::future::pending().await,
        }
    }

    /// Adds bytes; `None` if memory is short.
    pub fn extend(&mut self, data: &[u8]) -> Option<()> {
        let needed = self.bytes.len() + data.len();
        if needed > self.allowed || needed > self.bytes.capacity() {
            self.enlarge(needed)?;
        }
        self.bytes.extend_from_slice(data);
        self.unrecorded += data.len();
        if self.unrecorded >= RECORDED_BYTES
            && let Some(reservation) = &self.reservation
        {
            reservation.record(self.unrecorded as u64);
            self.unrecorded = 0;
        }
        Some(())
    }

    /// Enlarges the buffer to the next power of two, at most to the longest body, and reserves memory for that first.
    fn enlarge(&mut self, needed: usize) -> Option<()> {
        let size = needed.next_power_of_two().min(self.max_bytes).max(needed);
        let is_moved = size > self.bytes.capacity();
        if size <= FREE_BYTES {
            self.bytes.reserve(size - self.bytes.len());
            return Some(());
        }
        match (&self.reservation, &self.memory) {
            // Both buffers exist while one is copied.
            (Some(reservation), _) => {
                let added = if is_moved { size } else { size - self.allowed };
                reservation.grow(added as u64).then_some(())?;
            }
            (None, Some(memory)) => self.reservation = Some(memory.reserve(size as u64)?),
            (None, None) => {}
        }
        self.allowed = size;
        if is_moved {
            let mut enlarged = BytesMut::with_capacity(size);
            enlarged.extend_from_slice(&self.bytes);
            self.bytes = enlarged;
        }
        if let Some(reservation) = &self.reservation {
            reservation.shrink_to(size as u64);
        }
        Some(())
    }

    /// Returns the complete body; `None` if its memory was given to others.
    pub fn finish(self) -> Option<Bytes> {
        let Some(reservation) = self.reservation else {
            return Some(self.bytes.freeze());
        };
        reservation
            .complete()
            .then(|| reservation.attach(self.bytes))
    }
}
