//! A body while it is read: its bytes, and the memory reserved for them.

use bytes::{Bytes, BytesMut};

use crate::http::memory::{Memory, Reservation};

/// Bytes of each body that need no reservation; the limit of connections covers them.
const FREE_BYTES: usize = 16 * 1024;

/// Bytes that are recorded at once, so that tiny chunks cost little.
const RECORDED_BYTES: usize = 4 * 1024;

/// `Buffer` collects a body; its capacity is never more than the reserved bytes, except for a short one.
#[derive(Debug)]
pub struct Buffer<'a> {
    memory: &'a Memory,
    bytes: BytesMut,
    /// Most bytes that the body can have.
    max_bytes: usize,
    reservation: Option<Reservation>,
    /// Bytes that arrived and are not recorded in the reservation yet.
    unrecorded: usize,
}

/// `Owner` owns a complete body, and its reserved bytes until the last reference to it is dropped.
struct Owner {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<'a> Buffer<'a> {
    /// Creates a buffer for a body of an announced length, if one was; `None` if memory is short.
    pub fn try_new(memory: &'a Memory, announced: Option<usize>, max_bytes: usize) -> Option<Self> {
        let mut buffer = Self {
            memory,
            bytes: BytesMut::new(),
            max_bytes: announced.unwrap_or(max_bytes),
            reservation: None,
            unrecorded: 0,
        };
        let announced = announced.unwrap_or(0);
        if announced > FREE_BYTES {
            buffer.reservation = Some(memory.reserve(announced as u64)?);
        }
        // Untouched pages of a large allocation take no memory.
        buffer.bytes.reserve(announced);
        Some(buffer)
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
        if needed > self.bytes.capacity() {
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
        let capacity = needed.next_power_of_two().min(self.max_bytes).max(needed);
        if capacity <= FREE_BYTES {
            self.bytes.reserve(capacity - self.bytes.len());
            return Some(());
        }
        match &self.reservation {
            // Both buffers exist while one is copied.
            Some(reservation) => reservation.grow(capacity as u64).then_some(())?,
            None => self.reservation = Some(self.memory.reserve(capacity as u64)?),
        }
        let mut enlarged = BytesMut::with_capacity(capacity);
        enlarged.extend_from_slice(&self.bytes);
        self.bytes = enlarged;
        if let Some(reservation) = &self.reservation {
            reservation.shrink_to(capacity as u64);
        }
        Some(())
    }

    /// Returns the complete body; `None` if its memory was given to others.
    pub fn finish(self) -> Option<Bytes> {
        let Some(reservation) = self.reservation else {
            return Some(self.bytes.freeze());
        };
        reservation.complete().then(|| {
            Bytes::from_owner(Owner {
                bytes: self.bytes,
                _reservation: reservation,
            })
        })
    }
}
