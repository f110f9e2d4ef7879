//! Claims: calls that must run at most once, however often the caller repeats them.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{Member, Offset, Service, Workspace};

/// Longest `Idempotency-Key`, in characters.
pub const CLAIM_KEY_MAX_CHARS: usize = 256;

/// Longest answer that a claim keeps, in bytes.
pub const CLAIM_BODY_MAX_BYTES: usize = 64 * 1024;

/// `ClaimKey` is what two repeats of one call have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The caller's workspace; `None` on a route open to all.
    pub workspace: Option<Workspace>,
    /// The service.
    pub service: Service,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// `Claim` announces a call; it is sent only after the fold has accepted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The call.
    pub key: ClaimKey,
    /// First 8 bytes of the SHA-256 digest of method, path and body; a repeat with another is rejected.
    pub fingerprint: u64,
    /// The gate that will send the call.
    pub member: Member,
}

/// `Result` is what became of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Result {
    /// The call did not run: the claim is given up and may be made again.
    NotRun,
    /// The call may have run; repeats are told so.
    MayHaveRun,
    /// The call ran and this is its answer; a long body is left out.
    Ran {
        /// HTTP status.
        status: u16,
        /// `Content-Type` of the answer.
        content_type: String,
        /// The answer's body, `None` if it was too long to keep.
        #[serde(with = "super::byte_string::optional")]
        body: Option<Vec<u8>>,
    },
}

/// `Finish` closes a claim; only the member that holds the claim may.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The call.
    pub key: ClaimKey,
    /// Offset of the accepted claim.
    pub claim: Offset,
    /// What became of it.
    pub result: Result,
}
