//! Closing of the claims that this gate has made.

mod closer;

pub(crate) use closer::{ClaimCloser, PendingClaim};
