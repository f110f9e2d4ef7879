//! Topics of a log service with conditions and keys, through which VMs agree.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::Offset;

use crate::errors::Result;

/// `Topic` is one of the topics that the system reads or writes.
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
    /// What endpoints say of themselves, by endpoint; only endpoints write it.
    Endpoints,
    /// The VMs of the system, by name.
    Members,
    /// Terms of the placement leader.
    Leadership,
}

/// `Record` is one record of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key; empty in topics without keys.
    pub key: String,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// `Records` is what one read of a topic returned.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Records {
    /// The records, in order and without gaps.
    pub records: Vec<Record>,
    /// Offset after the last of them, from which to read on.
    pub next: Offset,
    /// Offset that the next append gets, as of this read.
    pub end: Offset,
}

impl Records {
    /// Tells whether the read reached the end of the topic.
    pub fn reaches_end(&self) -> bool {
        self.next >= self.end
    }
}

/// `Topics` is a log service of topics; in topics with keys the newest record of each key is kept for good.
pub trait Topics: Clone + Send + Sync + 'static {
    /// Returns the newest record of each key, and an offset from which reading on misses no change.
    ///
    /// # Errors
    ///
    /// Whatever the call meets.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Records>> + Send;

    /// Reads records from an offset, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// `Error::Trimmed` if the offset is no longer kept, and whatever the call itself meets.
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Records>> + Send;

    /// Appends a record, if the topic ends at `at` where that is given, and returns its offset.
    ///
    /// # Errors
    ///
    /// `Error::Conflict` if the topic ends elsewhere; `Error::Unanswered` if it is not known whether the record was
    /// appended or will be.
    fn append(
        &self,
        topic: Topic,
        record: &Record,
        at: Option<Offset>,
    ) -> impl Future<Output = Result<Offset>> + Send;
}
