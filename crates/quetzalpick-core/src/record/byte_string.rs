//! Serialises byte vectors as byte strings instead of sequences of numbers, for `#[serde(with = ...)]`.

use std::fmt;

use serde::de::{Deserializer, SeqAccess, Visitor};
use serde::ser::Serializer;

/// Serialises bytes as one byte string.
///
/// # Errors
///
/// Errors of the serializer.
pub fn serialize<S: Serializer>(bytes: impl AsRef<[u8]>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes.as_ref())
}

/// Deserialises a byte string, or a sequence of numbers in formats without byte strings.
///
/// # Errors
///
/// Errors of the deserializer, or if the length does not fit `T`.
pub fn deserialize<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<Vec<u8>>,
{
    let bytes = deserializer.deserialize_byte_buf(ByteString)?;
    let found = bytes.len();
    T::try_from(bytes).map_err(|_| serde::de::Error::invalid_length(found, &ByteString))
}

/// `ByteString` accepts any representation of bytes.
struct ByteString;

impl<'de> Visitor<'de> for ByteString {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: serde::de::Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut numbers: A) -> Result<Vec<u8>, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = numbers.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}

/// The same for `Option<Vec<u8>>`.
pub(crate) mod optional {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// `Bytes` serialises its contents as a byte string.
    #[derive(Serialize, Deserialize)]
    struct Bytes(#[serde(with = "super")] Vec<u8>);

    /// Serialises a byte string, or `None`.
    pub(crate) fn serialize<S: Serializer>(
        bytes: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let bytes = bytes.clone().map(Bytes);
        bytes.serialize(serializer)
    }

    /// Deserialises a byte string, or `None`.
    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        let bytes = Option::<Bytes>::deserialize(deserializer)?;
        Ok(bytes.map(|Bytes(bytes)| bytes))
    }
}
