//! Byte strings in messages; serde's default for `Vec<u8>` and `Bytes` would write each byte as a number.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// `Blob` wraps bytes so that a message carries them as one MessagePack byte string.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Blob(#[serde(with = "quetzalpick_core::record::byte_string")] pub Bytes);
