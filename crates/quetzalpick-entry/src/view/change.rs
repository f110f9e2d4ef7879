//! Changes of the configuration: its record, compressed against one that the receiver has.

use std::io::{self, Read, Write};

use bytes::Bytes;
use quetzalpick_node::peer::Blob;
use serde::{Deserialize, Serialize};
use zstd::stream::read::Decoder;
use zstd::stream::write::Encoder;

use crate::errors::{Result, malformed};

/// Level of compression, at which a megabyte takes some milliseconds.
const LEVEL: i32 = 3;

/// Largest record that is restored, in bytes.
const RECORD_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Binary logarithm of the largest window of a compressed record, in bytes, so that it holds both records.
const WINDOW_LOG_MAX: u32 = 27;

/// Type of message, for errors.
const MESSAGE_TYPE: &str = "change of the configuration";

/// `Change` turns the record of one version of the configuration into that of a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// Version that the receiver must have; 0 if it needs none.
    pub(crate) base_version: u64,
    /// The newer record, compressed with the record of that version as its dictionary.
    compressed: Blob,
}

impl Change {
    /// Creates the change from the record of a version; an empty record stands for none.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the record cannot be compressed.
    pub(crate) fn try_new(base_version: u64, base: &[u8], record: &[u8]) -> Result<Self> {
        let compressed = compress(base, record).map_err(|e| malformed(MESSAGE_TYPE, e))?;
        Ok(Self {
            base_version,
            compressed: Blob(compressed),
        })
    }

    /// Returns its size, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.compressed.0.len()
    }

    /// Restores the newer record.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if it was not made from this base.
    pub(crate) fn apply(&self, base: &[u8]) -> Result<Bytes> {
        let record = decompress(base, &self.compressed.0);
        record.map_err(|error| malformed(MESSAGE_TYPE, error))
    }
}

fn compress(base: &[u8], record: &[u8]) -> io::Result<Bytes> {
    let window = (base.len() + record.len()).next_power_of_two();
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.include_checksum(true)?;
    encoder.long_distance_matching(true)?;
    encoder.window_log(window.ilog2().clamp(10, WINDOW_LOG_MAX))?;
    encoder.write_all(record)?;
    encoder.finish().map(Bytes::from)
}

fn decompress(base: &[u8], compressed: &[u8]) -> io::Result<Bytes> {
    let mut decoder = Decoder::with_ref_prefix(compressed, base)?;
    decoder.window_log_max(WINDOW_LOG_MAX)?;
    let mut record = Vec::new();
    decoder.take(RECORD_MAX_BYTES).read_to_end(&mut record)?;
    Ok(Bytes::from(record))
}
