//! Claims of calls that must run at most once, however often the caller repeats them.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{Member, Offset, Service, Workspace};

/// Longest `Idempotency-Key`, in characters.
pub const CLAIM_KEY_MAX_CHARS: usize = 256;

/// Longest answer body that a claim stores, in bytes.
pub const CLAIM_BODY_MAX_BYTES: usize = 64 * 1024;

/// `ClaimKey` identifies a call across its repeats.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The caller's workspace; `None` on a route that needs no key.
    pub workspace: Option<Workspace>,
    /// The service.
    pub service: Service,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// `Claim` announces a call, which is sent only after the fold has accepted the claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identifies the call.
    pub key: ClaimKey,
    /// First 8 bytes of the SHA-256 digest of method, path and body; a repeat with a different one is rejected.
    pub fingerprint: u64,
    /// The gate that will send the call.
    pub member: Member,
}

/// `Result` describes how a claimed call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Result {
    /// The call did not run: the claim is released and may be made again.
    NotRun,
    /// The call may have run; repeats get this answer.
    MayHaveRun,
    /// The call ran and was answered; a body longer than `CLAIM_BODY_MAX_BYTES` is omitted.
    Ran {
        /// HTTP status.
        status: u16,
        /// `Content-Type` of the answer.
        content_type: String,
        /// Body of the answer, `None` if it was too long.
        #[serde(with = "super::byte_string::optional")]
        body: Option<Vec<u8>>,
    },
}

/// `Finish` closes a claim; only the member that made the claim may write it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Identifies the call.
    pub key: ClaimKey,
    /// Offset of the accepted claim.
    pub claim: Offset,
    /// How the call ended.
    pub result: Result,
}
