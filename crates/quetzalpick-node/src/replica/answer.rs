//! Types that the replica returns to its callers.

use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::{Command, Domain, Member, Offset, Revision};
use quetzalpick_core::record::Role;
use quetzalpick_core::state::Reason;
use snafu::Snafu;

/// `Answer` is the result of submitting an entry.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Answer {
    /// The entry was applied and accepted.
    #[snafu(display("accepted at {offset}"))]
    Accepted {
        /// Offset at which the command was first applied.
        offset: Offset,
        /// Configuration revision after it.
        revision: Revision,
    },
    /// The entry was applied and rejected.
    #[snafu(display("rejected at {offset}: {reason}"))]
    Rejected {
        /// Offset at which the command was first applied.
        offset: Offset,
        /// Reason for the rejection.
        reason: Reason,
    },
    /// The entry was not appended.
    #[snafu(display("not sent, retry in {} ms", retry_after.as_millis()))]
    NotSent {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The entry may take effect later; its outcome can be looked up by the command's id.
    #[snafu(display("outcome unknown, look up command {command}"))]
    Unknown {
        /// Command whose outcome to look up.
        command: Command,
    },
}

/// `NoLease` is returned while this process has no lease and so must not act on its copy of the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no lease, retry in {} ms", retry_after.as_millis()))]
pub struct NoLease {
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// `Peer` describes another process as of its last message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Member id.
    pub member: Member,
    /// Role.
    pub role: Role,
    /// Failure domain.
    pub domain: Domain,
    /// IP address and port of its peer listener.
    pub address: String,
    /// First offset that it had not applied at its last message.
    pub applied: Offset,
    /// Time since its last message, in ms.
    pub last_contact_ms_ago: u64,
    /// Data of its application in the last exchange.
    pub payload: Bytes,
}
