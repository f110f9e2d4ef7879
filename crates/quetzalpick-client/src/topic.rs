//! Topics of a log service with keys and conditional appends, through which VMs coordinate.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::Offset;

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
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Records {
    /// The records, in order and without gaps.
    pub records: Vec<Record>,
    /// Offset after the last record, from which the next read continues.
    pub next: Offset,
    /// Offset that the next append gets, as of this read.
    pub end: Offset,
}

impl Records {
    /// Returns whether the read reached the end of the topic.
    pub fn reaches_end(&self) -> bool {
        self.next >= self.end
    }
}

/// `Topics` reads and appends to topics of a log service, which keeps the newest record of each key indefinitely.
pub trait Topics: Clone + Send + Sync + 'static {
    /// Returns the newest record of each key, and an offset from which further reads miss no change.
    ///
    /// # Errors
    ///
    /// Any error of the call.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Records>> + Send;

    /// Reads records from an offset, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// `Error::Trimmed` if the offset is no longer kept, and any error of the call.
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Records>> + Send;

    /// Appends a record and returns its offset; with `expected_end`, only if the topic ends at that offset.
    ///
    /// # Errors
    ///
    /// `Error::Conflict` if the topic ends at another offset; `Error::Unanswered` with `Verdict::MayHaveRun` if the
    /// record may have been appended or may be appended later.
    fn append(
        &self,
        topic: Topic,
        record: &Record,
        expected_end: Option<Offset>,
    ) -> impl Future<Output = Result<Offset>> + Send;
}
