//! Byte strings in messages; without a codec for byte strings each byte would be written as a number.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// `Blob` wraps bytes so that a message carries them as one MessagePack byte string.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Blob(#[serde(with = "quetzalpick_core::record::byte_string")] pub Bytes);
