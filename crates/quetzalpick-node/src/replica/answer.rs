//! What the replica tells its callers.

use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::{Command, Domain, Member, Offset, Revision};
use quetzalpick_core::record::Role;
use quetzalpick_core::state::Reason;
use snafu::Snafu;

/// `Answer` is what became of a submitted entry.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Answer {
    /// The fold accepted the entry.
    #[snafu(display("accepted at {offset}"))]
    Accepted {
        /// Where it was first applied.
        offset: Offset,
        /// Configuration revision in force after it.
        revision: Revision,
    },
    /// The fold rejected the entry.
    #[snafu(display("rejected at {offset}: {reason}"))]
    Rejected {
        /// Where it was first applied.
        offset: Offset,
        /// Why.
        reason: Reason,
    },
    /// Nothing was appended.
    #[snafu(display("not sent, come back in {} ms", retry_after.as_millis()))]
    NotSent {
        /// When to come back.
        retry_after: Duration,
    },
    /// The entry may take effect later; the command's id tells what became of it.
    #[snafu(display("not known, ask for command {command}"))]
    Unknown {
        /// The command to ask after.
        command: Command,
    },
}

/// `NoLease` says that this process must not act on its view of the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no lease, come back in {} ms", retry_after.as_millis()))]
pub struct NoLease {
    /// When to come back.
    pub retry_after: Duration,
}

/// `Peer` is what is known of another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The process.
    pub member: Member,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: Domain,
    /// IP address and port of its peer listener.
    pub address: String,
    /// First offset that it had not applied when last heard.
    pub applied: Offset,
    /// How long ago it was last heard, in ms.
    pub heard_ms_ago: u64,
    /// What its application last added to the exchange.
    pub payload: Bytes,
}
