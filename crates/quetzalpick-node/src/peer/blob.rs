//! Byte strings in messages: without a codec of their own each byte would be written as a number.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// `Blob` is a byte string in a message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Blob(#[serde(with = "quetzalpick_core::record::byte_string")] pub Bytes);
