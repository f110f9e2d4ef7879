//! Wire types of the log service.
//!
//! `POST /streams/{stream}/append` takes `Append` in MessagePack and answers `Appended`; `GET
//! /streams/{stream}?from=N&wait_ms=M&max=K` answers `Page`, both in MessagePack. A refused append gets status 429 with
//! `Retry-After` in seconds or `retry-after-ms`; a read of trimmed records gets 410 and `Gone`; calls in an outage get
//! 503, after which it is unknown whether an append took effect.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// `Append` requests that records be appended at consecutive offsets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The records.
    pub records: Vec<Bytes>,
}

/// `Appended` confirms an append and returns its first offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub first: u64,
}

/// `Page` holds consecutive records of a stream, and the range of offsets it keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the first record.
    pub first: u64,
    /// The records.
    pub records: Vec<Bytes>,
    /// Offset that the next append gets.
    pub head: u64,
    /// Oldest offset kept.
    pub oldest: u64,
}

/// `Gone` reports that the requested records are no longer kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// Oldest offset kept.
    pub oldest: u64,
    /// Offset that the next append gets.
    pub head: u64,
}
