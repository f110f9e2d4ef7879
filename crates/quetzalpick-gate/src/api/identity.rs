//! Digests of keys and fingerprints of calls.

use quetzalpick_core::record::Digest;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// Returns the SHA-256 digest of a key.
pub(crate) fn digest(key: &str) -> Digest {
    Digest(Sha256::digest(key.as_bytes()).into())
}

/// Compares two digests in constant time.
pub(crate) fn constant_time_eq(left: &Digest, right: &Digest) -> bool {
    left.0.ct_eq(&right.0).into()
}

/// Returns the fingerprint of a call: the first 8 bytes of the SHA-256 digest of method, path with query, and body.
pub(crate) fn fingerprint(method: &str, path_and_query: &str, body: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let digest: [u8; 32] = hash.finalize().into();
    // The first 8 of 32 bytes always exist.
    u64::from_be_bytes(digest[..8].try_into().expect("8 of 32 bytes"))
}
