//! Outcomes of entries and reasons for rejecting them.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id::{Member, Offset, Revision};
use crate::record::ClaimResult;

/// `Outcome` describes how the fold decided on an entry; it is the same on every VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The entry took effect, and the configuration then had this revision.
    Accepted(Revision),
    /// The entry took no effect.
    Rejected(Reason),
    /// The command was applied before, at this offset and with this outcome.
    Repeated(Offset, Box<Outcome>),
}

impl Outcome {
    /// Returns the outcome of the command when it was first applied.
    pub fn first(&self) -> &Outcome {
        match self {
            Self::Repeated(_, first) => first.first(),
            outcome => outcome,
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

/// `Reason` describes why the fold rejected an entry.
///
/// The texts are part of the digest that replicas compare, so they must not change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(visibility(pub))]
#[non_exhaustive]
pub enum Reason {
    /// The configuration has another revision than the writer expected.
    #[snafu(display("revision is {found}, not {expected}"))]
    Revision {
        /// The revision that the writer expected.
        expected: Revision,
        /// The current revision.
        found: Revision,
    },
    /// The entry names something that does not exist.
    #[snafu(display("unknown: {what}"))]
    Unknown {
        /// Kind and name, such as `workspace lagos`.
        what: String,
    },
    /// The entry names something that exists already or is in use.
    #[snafu(display("conflict: {what}"))]
    Conflict {
        /// Description of the conflict.
        what: String,
    },
    /// A value is out of range.
    #[snafu(display("invalid: {what}"))]
    Invalid {
        /// Description of the value and its valid range.
        what: String,
    },
    /// The author or the member that the entry names is not active.
    #[snafu(display("{member} is not an active member"))]
    NotActive {
        /// The member.
        member: Member,
    },
    /// The writer is not the placement leader, or the record is of an older term.
    #[snafu(display("not the placement leader in force"))]
    NotLeader,
    /// The confirmations are not a majority of the voters.
    #[snafu(display("{found} witnesses are no majority of {voters} voters"))]
    NoMajority {
        /// Number of voters that confirmed.
        found: usize,
        /// Number of voters.
        voters: usize,
    },
    /// The intent would overcommit the memory of an engine.
    #[snafu(display("{needed_mb} MB needed, {free_mb} MB free"))]
    Memory {
        /// Memory that the load needs, in MB.
        needed_mb: u64,
        /// Memory used neither by loaded copies nor by open loads, in MB.
        free_mb: u64,
    },
    /// The unload or removal would leave a model or adapter without a confirmed copy.
    #[snafu(display("{what} would have no confirmed copy"))]
    LastCopy {
        /// The model or adapter.
        what: String,
    },
    /// The call was claimed before.
    #[snafu(display("the call was claimed at {claim}"))]
    Claimed {
        /// Offset of the earlier claim.
        claim: Offset,
        /// How the call ended, `None` while the claim is open.
        result: Option<ClaimResult>,
        /// Whether method, path and body are the same as in the earlier claim.
        same: bool,
    },
}

/// Builds the reason for a name that does not exist.
pub(crate) fn unknown(kind: &str, name: impl Display) -> Reason {
    Reason::Unknown {
        what: format!("{kind} {name}"),
    }
}

/// Builds the reason for a conflict with the current state.
pub(crate) fn conflict(what: impl Into<String>) -> Reason {
    Reason::Conflict { what: what.into() }
}

/// Builds the reason for a value that is invalid or out of range.
pub(crate) fn invalid(what: impl Into<String>) -> Reason {
    Reason::Invalid { what: what.into() }
}
