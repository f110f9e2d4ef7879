//! What became of an entry.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id::{Member, Offset, Revision};
use crate::record::ClaimResult;

/// `Outcome` is what the fold decided about an entry, the same on every VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The entry took effect; the revision is the one in force after it.
    Accepted(Revision),
    /// The entry took no effect.
    Rejected(Reason),
    /// The command was applied before, at this offset, with this outcome.
    Repeated(Offset, Box<Outcome>),
}

impl Outcome {
    /// Returns what became of the command when it was first applied.
    pub fn first(&self) -> &Outcome {
        match self {
            Self::Repeated(_, first) => first.first(),
            other => other,
        }
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted(revision) => write!(f, "accepted at revision {revision}"),
            Self::Rejected(reason) => write!(f, "rejected: {reason}"),
            Self::Repeated(offset, first) => write!(f, "repeated, at {offset} {first}"),
        }
    }
}

/// `Reason` says why the fold rejected an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(visibility(pub))]
#[non_exhaustive]
pub enum Reason {
    /// The configuration has another revision than the writer expected.
    #[snafu(display("revision is {found}, not {expected}"))]
    Revision {
        /// What the writer expected.
        expected: Revision,
        /// What is in force.
        found: Revision,
    },
    /// The entry names something that does not exist.
    #[snafu(display("unknown: {what}"))]
    Unknown {
        /// What is unknown, such as `workspace lagos`.
        what: String,
    },
    /// The entry names something that exists already or is in use.
    #[snafu(display("conflict: {what}"))]
    Conflict {
        /// What stands against it.
        what: String,
    },
    /// A value is out of range.
    #[snafu(display("invalid: {what}"))]
    Invalid {
        /// Which value, and its range.
        what: String,
    },
    /// The author or the member named is not active.
    #[snafu(display("{member} is not an active member"))]
    NotActive {
        /// The member.
        member: Member,
    },
    /// The writer is not the placement leader, or leads under an older term.
    #[snafu(display("not the placement leader in force"))]
    NotLeader,
    /// The witnesses are no majority of the voters.
    #[snafu(display("{found} witnesses are no majority of {voters} voters"))]
    NoMajority {
        /// Witnesses that vote.
        found: usize,
        /// Voters.
        voters: usize,
    },
    /// The intent would let an engine hold more than its memory.
    #[snafu(display("{needed_mb} MB needed, {free_mb} MB free"))]
    Memory {
        /// Memory that the load needs, in MB.
        needed_mb: u64,
        /// Memory neither loaded nor promised, in MB.
        free_mb: u64,
    },
    /// The unload or removal would leave something without a confirmed copy.
    #[snafu(display("{what} would have no confirmed copy"))]
    LastCopy {
        /// The model or adapter.
        what: String,
    },
    /// The call was claimed before.
    #[snafu(display("the call was claimed at {claim}"))]
    Claimed {
        /// Offset of the claim that holds.
        claim: Offset,
        /// What became of it, `None` while that is open.
        result: Option<ClaimResult>,
        /// Whether the repeat has the same method, path and body.
        same: bool,
    },
}

/// Says that something named does not exist.
pub(crate) fn unknown(kind: &str, name: impl Display) -> Reason {
    Reason::Unknown {
        what: format!("{kind} {name}"),
    }
}

/// Says what stands against an entry.
pub(crate) fn conflict(what: impl Into<String>) -> Reason {
    Reason::Conflict { what: what.into() }
}

/// Says which value is out of range.
pub(crate) fn invalid(what: impl Into<String>) -> Reason {
    Reason::Invalid { what: what.into() }
}
