//! What the topic of origins holds, so that streams can be taken up after a loss of all VMs.
//!
//! The leader marks the services that run several builds and stores the origins of their streams in batches. Batches occupy a fixed
//! number of slots in turn, so that the topic stays bounded without times, which do not survive a restart.

use std::str::FromStr;

use bytes::Bytes;
use quetzalpick_client::topic::Record;
use quetzalpick_core::id::Service;
use quetzalpick_core::table::Table;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::exchange::{decode, encode};
use crate::origin::Origin;
use crate::origin::attempt::Attempt;

/// Number of slots; at the leader's pace they hold more than callers wait for a stream.
const SLOTS: u64 = 256;

/// Prefix of the keys of slots.
const SLOT_PREFIX: &str = "slot-";

/// Prefix of the keys of services that run several builds.
const SERVICE_PREFIX: &str = "service-";

/// Value of a service's record, which carries no information beyond its key.
const MARK: &[u8] = b"1";

/// `Key` is the key of a record in the topic of origins.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Key {
    Slot(u64),
    Service(Service),
}

/// `InvalidKey` is a key that this version of the program does not use.
#[derive(Debug, Snafu)]
#[snafu(display("the key is neither a slot nor a service"))]
pub(crate) struct InvalidKey;

impl FromStr for Key {
    type Err = InvalidKey;

    fn from_str(key: &str) -> Result<Self, InvalidKey> {
        let slot = key.strip_prefix(SLOT_PREFIX);
        if let Some(slot) = slot.and_then(|slot| slot.parse().ok()) {
            return Ok(Self::Slot(slot));
        }
        let service = key.strip_prefix(SERVICE_PREFIX).ok_or(InvalidKey)?;
        let service = Service::try_new(service).map_err(|_| InvalidKey)?;
        Ok(Self::Service(service))
    }
}

/// `Batch` is the value of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// Number of the batch; the slot is its remainder.
    number: u64,
    rows: Vec<StoredRow>,
}

/// `StoredRow` lists streams of one origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredRow {
    origin: Origin,
    /// Attempts that began the streams, sorted.
    attempts: Vec<Attempt>,
}

impl StoredRow {
    /// Creates the row of some streams.
    pub(crate) fn new(origin: Origin, mut attempts: Vec<Attempt>) -> Self {
        attempts.sort_unstable();
        Self { origin, attempts }
    }
}

/// `Stored` holds what was read from the topic.
#[derive(Debug, Default)]
pub(crate) struct Stored {
    /// Services that run several builds, or did while streams began that may be taken up now.
    services: Table<Service, ()>,
    slots: Table<u64, Batch>,
    /// Number of the next batch.
    next_number: u64,
}

impl Stored {
    /// Applies a record; one that cannot be decoded is skipped.
    pub(crate) fn apply(&mut self, record: &Record) {
        let key = match record.key.parse::<Key>() {
            Ok(key) => key,
            Err(error) => {
                log::warn!(
                    "origin: record ignored key={} reason=\"{error}\"",
                    record.key
                );
                return;
            }
        };
        match (key, &record.value) {
            (Key::Service(service), Some(_)) => drop(self.services.insert(service, ())),
            (Key::Service(service), None) => drop(self.services.remove(&service)),
            (Key::Slot(slot), Some(value)) => self.apply_batch(slot, value),
            (Key::Slot(slot), None) => drop(self.slots.remove(&slot)),
        }
    }

    fn apply_batch(&mut self, slot: u64, value: &[u8]) {
        let Some(mut batch) = decode::<Batch>(value) else {
            log::warn!("origin: batch ignored slot={slot}");
            return;
        };
        let rows = batch.rows.iter_mut();
        rows.for_each(|row| row.attempts.sort_unstable());
        self.next_number = self.next_number.max(batch.number.saturating_add(1));
        self.slots.insert(slot, batch);
    }

    /// Returns whether a service runs several builds, or did recently.
    pub(crate) fn runs_several_builds(&self, service: &Service) -> bool {
        self.services.contains(service)
    }

    /// Returns whether any service does.
    pub(crate) fn is_any_marked(&self) -> bool {
        !self.services.is_empty()
    }

    /// Returns where the stream began that an attempt brought.
    pub(crate) fn find(&self, attempt: Attempt) -> Option<&Origin> {
        let rows = self.slots.values().flat_map(|batch| &batch.rows);
        let mut rows = rows.filter(|row| row.attempts.binary_search(&attempt).is_ok());
        rows.next().map(|row| &row.origin)
    }

    /// Returns the record with the next batch; `None` if it cannot be encoded.
    pub(crate) fn batch(&self, rows: &[StoredRow]) -> Option<Record> {
        let number = self.next_number;
        let batch = Batch {
            number,
            rows: rows.to_vec(),
        };
        let value = encode(&batch)?;
        Some(Record {
            key: format!("{SLOT_PREFIX}{}", number % SLOTS),
            value: Some(value),
        })
    }

    /// Returns the record that marks a service, or that removes the mark.
    pub(crate) fn mark(service: &Service, runs_several_builds: bool) -> Record {
        Record {
            key: format!("{SERVICE_PREFIX}{service}"),
            value: runs_several_builds.then(|| Bytes::from_static(MARK)),
        }
    }
}
