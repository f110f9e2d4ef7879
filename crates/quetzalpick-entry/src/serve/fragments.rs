//! Fragments of an answer on their way to a caller, bounded by their bytes.

use std::sync::Arc;

use bytes::Bytes;
use quetzalpick_node::http::memory::{Buffered, Memory};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::serve::body::Interrupted;

/// Bytes buffered for each caller without a reservation of memory.
const FREE_BYTES: u32 = 16 * 1024;

/// Bytes buffered for each caller at most.
const BUFFERED_MAX_BYTES: u32 = 64 * 1024;

/// Longest piece that is buffered as a whole, in bytes; a longer fragment is sent in several.
const PIECE_BYTES: usize = 8 * 1024;

/// Memory that a fragment takes beside its bytes.
const FRAGMENT_BYTES: u32 = 128;

/// `CallerGone` states that the caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// `Fragment` holds bytes for a caller, or the reason why there are no more, and the room that they take.
#[derive(Debug)]
pub(crate) struct Fragment {
    data: Result<Bytes, Interrupted>,
    room: Option<Room>,
}

/// `Unsent` owns bytes that are on their way to a caller, and their room until the connection has written them.
struct Unsent {
    bytes: Bytes,
    _room: Room,
}

impl AsRef<[u8]> for Unsent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// `Room` holds the room of one fragment until it is dropped.
#[derive(Debug)]
struct Room {
    /// Part of the caller's own room.
    _own: OwnedSemaphorePermit,
    /// Part of the process's memory, beyond what each caller has.
    _buffered: Option<Buffered>,
}

/// `Sender` sends fragments to a caller, and waits while it holds too many unread bytes.
#[derive(Debug)]
pub(crate) struct Sender {
    fragments: mpsc::UnboundedSender<Fragment>,
    /// Bytes that fit in without a reservation.
    free: Arc<Semaphore>,
    /// Bytes that fit in with one.
    reserved: Arc<Semaphore>,
    memory: Memory,
}

impl Fragment {
    /// Returns the bytes, which keep the room until their last reference is dropped.
    pub(crate) fn into_data(self) -> Result<Bytes, Interrupted> {
        let bytes = self.data?;
        Ok(match self.room {
            Some(_room) => Bytes::from_owner(Unsent { bytes, _room }),
            None => bytes,
        })
    }
}

impl Sender {
    /// Creates a sender and the receiver of its fragments.
    pub(crate) fn new(memory: Memory) -> (Self, mpsc::UnboundedReceiver<Fragment>) {
        let (fragments, receiver) = mpsc::unbounded_channel();
        let room = |bytes: u32| Arc::new(Semaphore::new(bytes as usize));
        let sender = Self {
            fragments,
            free: room(FREE_BYTES),
            reserved: room(BUFFERED_MAX_BYTES - FREE_BYTES),
            memory,
        };
        (sender, receiver)
    }

    /// Sends a fragment if there is room for all of it now; returns it otherwise.
    ///
    /// # Errors
    ///
    /// `CallerGone` if the caller has disconnected.
    pub(crate) fn try_send(&self, bytes: Bytes) -> Result<Option<Bytes>, CallerGone> {
        if bytes.len() > PIECE_BYTES {
            return Ok(Some(bytes));
        }
        match self.try_take(size(&bytes)) {
            Some(room) => self.push(Ok(bytes), Some(room)).map(|()| None),
            None => Ok(Some(bytes)),
        }
    }

    /// Sends a fragment once there is room for it.
    ///
    /// # Errors
    ///
    /// `CallerGone` if the caller has disconnected.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        if bytes.len() <= PIECE_BYTES {
            let room = self.take(size(&bytes)).await?;
            return self.push(Ok(bytes), Some(room));
        }
        for piece in bytes.chunks(PIECE_BYTES) {
            let room = self.take(size(piece)).await?;
            // A copy, as a part of the long fragment would keep all of it until the caller reads.
            self.push(Ok(Bytes::copy_from_slice(piece)), Some(room))?;
        }
        Ok(())
    }

    /// Takes room once there is some.
    async fn take(&self, bytes: u32) -> Result<Room, CallerGone> {
        if let Some(room) = self.try_take(bytes) {
            return Ok(room);
        }
        tokio::select! {
            biased;
            () = self.closed() => Err(CallerGone),
            room = self.wait_for_room(bytes) => room,
        }
    }

    /// Ends the answer with an error, after what was sent.
    ///
    /// # Errors
    ///
    /// `CallerGone` if the caller has disconnected.
    pub(crate) fn interrupt(&self, interrupted: Interrupted) -> Result<(), CallerGone> {
        self.push(Err(interrupted), None)
    }

    /// Waits until the caller disconnects.
    pub(crate) async fn closed(&self) {
        self.fragments.closed().await;
    }

    fn push(&self, data: Result<Bytes, Interrupted>, room: Option<Room>) -> Result<(), CallerGone> {
        let fragment = Fragment { data, room };
        self.fragments.send(fragment).map_err(|_| CallerGone)
    }

    /// Takes room that is free now, if there is any.
    fn try_take(&self, bytes: u32) -> Option<Room> {
        if let Ok(own) = Arc::clone(&self.free).try_acquire_many_owned(bytes) {
            return Some(Room {
                _own: own,
                _buffered: None,
            });
        }
        let own = Arc::clone(&self.reserved)
            .try_acquire_many_owned(bytes)
            .ok()?;
        let buffered = self.memory.buffer(u64::from(bytes))?;
        Some(Room {
            _own: own,
            _buffered: Some(buffered),
        })
    }

    /// Waits for room of the caller's own.
    async fn wait_for_room(&self, bytes: u32) -> Result<Room, CallerGone> {
        let own = Arc::clone(&self.free).acquire_many_owned(bytes).await;
        Ok(Room {
            _own: own.map_err(|_| CallerGone)?,
            _buffered: None,
        })
    }
}

/// Returns the room that a fragment takes, in bytes.
fn size(bytes: &[u8]) -> u32 {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    length.saturating_add(FRAGMENT_BYTES)
}
