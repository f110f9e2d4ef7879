//! Topics of a log service with keys and conditional appends, through which VMs coordinate.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::{Offset, Position};

use crate::errors::Result;

/// `Topic` names the topics that the system reads and writes.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Topic {
    /// The published configuration; only operators write it.
    Config,
    /// Status reports of endpoints, keyed by endpoint; only endpoints write it.
    Endpoints,
    /// The VMs of the system, keyed by name.
    Members,
    /// Terms of the placement leader.
    Leadership,
    /// Parts of prompts that crash endpoints, keyed by part.
    Quarantine,
    /// Where streams began and which services run several builds, keyed by slot and by service.
    Origins,
}

/// `Record` holds one record of a topic: a key, and its value or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key; empty in topics without keys.
    pub key: String,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// `Records` holds the result of one read of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Records {
    /// The records, in order and without gaps.
    pub records: Vec<Record>,
    /// Position after the last record, from which the next read continues.
    pub next: Position,
    /// Offset that the next append gets, as of this read.
    pub end: Offset,
}

impl Records {
    /// Returns whether the read reached the end of the topic.
    pub fn reaches_end(&self) -> bool {
        self.next.offset >= self.end
    }

    /// Returns the position that the next append gets, as of this read.
    pub fn end(&self) -> Position {
        Position {
            offset: self.end,
            ..self.next
        }
    }
}

/// `Topics` reads and appends to topics of a log service, which keeps the newest record of each key indefinitely.
///
/// After a restore from an older copy the service gives out offsets again, so that a call that names a position of a former era fails.
pub trait Topics: Clone + Send + Sync + 'static {
    /// Returns the newest record of each key, and a position from which further reads miss no change.
    ///
    /// # Errors
    ///
    /// `Error::Restored` if a restore came between, and any error of the call.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Records>> + Send;

    /// Reads records from a position, or from the oldest one that is kept, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// `Error::Trimmed` if the offset is no longer kept, `Error::Restored` if it is of a former era, and any error of the call.
    fn read(
        &self,
        topic: Topic,
        from: Option<Position>,
        wait: Duration,
    ) -> impl Future<Output = Result<Records>> + Send;

    /// Appends a record and returns its position; with `expected_end`, only if the topic ends at that position.
    ///
    /// # Errors
    ///
    /// `Error::Conflict` if the topic ends at another offset; `Error::Restored` if that position is of a former era, in which case the
    /// record may have been appended at its offset; `Error::Unanswered` with `Verdict::MayHaveRun` if the
    /// record may have been appended or may be appended later.
    fn append(
        &self,
        topic: Topic,
        record: &Record,
        expected_end: Option<Position>,
    ) -> impl Future<Output = Result<Position>> + Send;
}
