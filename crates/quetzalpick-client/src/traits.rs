//! What quetzalpick needs of the platform and of the engines, as small traits that tests can fake.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::Offset;

use crate::errors::Result;
use crate::wire::{engine, vms};

/// `Stream` is one of the system's streams in the log service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Stream {
    /// Entries that all VMs fold.
    Control,
    /// Snapshots of the folded state.
    Snapshots,
}

/// `Batch` is what one read of a stream returned.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Offset of the first record.
    pub first: Offset,
    /// The records, in order and without gaps.
    pub records: Vec<Bytes>,
    /// Offset that the next append gets, as of this read.
    pub head: Offset,
    /// Oldest offset kept.
    pub oldest: Offset,
}

impl Batch {
    /// Returns the offset after the last record.
    pub fn end(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    /// Tells whether the read reached the head of the stream.
    pub fn reaches_head(&self) -> bool {
        self.end() >= self.head
    }
}

/// `Log` is the platform's append-only log service.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends records, which get adjoining offsets, and returns the first.
    ///
    /// # Errors
    ///
    /// `Error::Busy` if nothing was appended; `Error::Unanswered` if it is not known, and then the records may appear
    /// later than those of another try.
    fn append(
        &self,
        stream: Stream,
        records: Vec<Bytes>,
    ) -> impl Future<Output = Result<Offset>> + Send;

    /// Reads records from an offset, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// `Error::Trimmed` if the offset is no longer kept, and whatever the call itself meets.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch>> + Send;
}

/// `Vms` is the platform's list of VMs and endpoints, which lags.
pub trait Vms: Clone + Send + Sync + 'static {
    /// Returns the list.
    ///
    /// # Errors
    ///
    /// Whatever the call meets.
    fn list(&self) -> impl Future<Output = Result<vms::List>> + Send;
}

/// `Engine` is the administration side of a model engine; `address` is its IP address and port.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Returns what the engine holds and how loaded it is; the load lags.
    ///
    /// # Errors
    ///
    /// Whatever the call meets.
    fn report(&self, address: &str) -> impl Future<Output = Result<engine::Report>> + Send;

    /// Sends an order; an accepted one takes effect later and shows in the report.
    ///
    /// # Errors
    ///
    /// `Error::Fenced` if the engine checks fencing and knows a newer number; `Error::Refused` if it will never do it.
    fn order(
        &self,
        address: &str,
        order: &engine::Order,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Returns prefix-cache events from a number on; events are late and some are missing.
    ///
    /// # Errors
    ///
    /// Whatever the call meets.
    fn events(
        &self,
        address: &str,
        from: u64,
    ) -> impl Future<Output = Result<engine::Events>> + Send;
}
