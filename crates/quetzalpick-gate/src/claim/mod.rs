//! Claims that this gate still has to close.

mod closer;

pub(crate) use closer::{ClaimCloser, PendingClaim};
