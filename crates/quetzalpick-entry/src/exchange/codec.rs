//! Encoding of messages between VMs, and of claims in the log, in MessagePack.
//!
//! Fields have names, so that VMs of two versions of the program understand each other: a field that the receiver does not know is
//! passed over, and one that the sender does not know has its default. Messages without names, of versions before that, are decoded too.

use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Number of messages that could not be decoded.
static MALFORMED: AtomicU64 = AtomicU64::new(0);

/// Decodes a message; `None` if it is malformed, which a caller receives as an error.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let message = rmp_serde::from_slice(body);
    message
        .inspect_err(|error| {
            let count = MALFORMED.fetch_add(1, Ordering::Relaxed) + 1;
            // Fewer and fewer lines, so that a VM that sends nothing else does not flood the log.
            if count.is_power_of_two() {
                log::warn!("exchange: malformed message ignored count={count} reason=\"{error}\"");
            }
        })
        .ok()
}

/// Encodes a message; `None` if that fails, which doesn't happen with the types of messages.
pub(crate) fn encode(message: &impl Serialize) -> Option<Bytes> {
    let bytes = rmp_serde::to_vec_named(message);
    bytes
        .inspect_err(|error| log::error!("exchange: message not encoded reason=\"{error}\""))
        .ok()
        .map(Bytes::from)
}
