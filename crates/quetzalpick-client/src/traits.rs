//! Traits of the platform and the engines, limited to what quetzalpick uses, so that tests can fake them.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::Offset;

use crate::errors::Result;
use crate::wire::{engine, vms};

/// `Stream` names the system's streams in the log service.
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

/// `Batch` holds the result of one read of a stream.
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
    /// Returns the offset after the last record, from which the next read continues.
    pub fn next(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    /// Returns whether the read reached the head of the stream.
    pub fn reaches_head(&self) -> bool {
        self.next() >= self.head
    }
}

/// `Log` appends to and reads from the platform's append-only log service.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends records at consecutive offsets and returns the first offset.
    ///
    /// # Errors
    ///
    /// `Error::Busy` if nothing was appended; `Error::Unanswered` if the outcome is unknown, in which case the records
    /// may appear later than those of another attempt.
    fn append(
        &self,
        stream: Stream,
        records: Vec<Bytes>,
    ) -> impl Future<Output = Result<Offset>> + Send;

    /// Reads records from an offset, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// `Error::Trimmed` if the offset is no longer kept, and any error of the call.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch>> + Send;
}

/// `Vms` reads the platform's list of VMs and endpoints, which lags behind changes.
pub trait Vms: Clone + Send + Sync + 'static {
    /// Returns the list.
    ///
    /// # Errors
    ///
    /// Any error of the call.
    fn list(&self) -> impl Future<Output = Result<vms::List>> + Send;
}

/// `Engine` calls the administration API of model engines; `address` is an engine's IP address and port.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Returns the engine's copies, which are current, and its load, which lags.
    ///
    /// # Errors
    ///
    /// Any error of the call.
    fn report(&self, address: &str) -> impl Future<Output = Result<engine::Report>> + Send;

    /// Sends an order; an accepted order takes effect later and then shows in the report.
    ///
    /// # Errors
    ///
    /// `Error::Fenced` if the engine checks fencing and has received a newer number; `Error::Refused` if it will never
    /// execute the order.
    fn order(
        &self,
        address: &str,
        order: &engine::Order,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Returns prefix-cache events from a number on; events are delayed and some are missing.
    ///
    /// # Errors
    ///
    /// Any error of the call.
    fn events(
        &self,
        address: &str,
        from: u64,
    ) -> impl Future<Output = Result<engine::Events>> + Send;
}
