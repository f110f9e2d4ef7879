//! The log service.
//!
//! `POST /streams/{stream}/append` takes `Append` in MessagePack and answers `Appended`; `GET
//! /streams/{stream}?from=N&wait_ms=M&max=K` answers `Page`, both in MessagePack. A refused append has status 429 with
//! `Retry-After` in seconds or `retry-after-ms`; trimmed records have status 410 and `Gone`; an outage has status 503,
//! which does not tell whether an append took effect.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// `Append` asks for records to be appended at adjoining offsets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The records.
    pub records: Vec<Bytes>,
}

/// `Appended` confirms an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub first: u64,
}

/// `Page` is a run of records.
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

/// `Gone` says that the records asked for are no longer kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// Oldest offset kept.
    pub oldest: u64,
    /// Offset that the next append gets.
    pub head: u64,
}
