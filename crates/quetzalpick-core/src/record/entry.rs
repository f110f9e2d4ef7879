//! Entries of the control stream and the kinds of records they contain.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::errors::{Result, decode_error, encode_error};
use crate::id::{Command, Member, Offset, Revision};
use crate::record::{
    Change, Claim, Declaration, Finish, Intent, Join, Report, Retire, Settled, VoterChange,
};

/// `Author` identifies the writer of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Author {
    /// A process of the system; entries of a member that is not active are rejected.
    Member(Member),
    /// An operator, by name; a keeper appends the entry on the operator's behalf.
    Operator(String),
}

/// `Entry` wraps a record with the metadata that the fold needs to accept or reject it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique id; the fold applies a command once, however often it is appended.
    pub command: Command,
    /// The writer.
    pub author: Author,
    /// Revision of the configuration that the writer expects; the entry is rejected at any other.
    pub expect: Option<Revision>,
    /// The record.
    pub record: Record,
}

impl Entry {
    /// Encodes the entry for the control stream.
    ///
    /// # Errors
    ///
    /// `Error::Encode` if serialisation fails.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).map_err(|e| encode_error("entry", e))
    }

    /// Decodes an entry read from the control stream.
    ///
    /// # Errors
    ///
    /// `Error::Decode` if the bytes are not a valid entry, for instance one of a newer version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|e| decode_error("entry", e))
    }
}

/// `Record` lists the kinds of records in the control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
pub enum Record {
    /// A change of configuration; the only record that raises the revision.
    Change(Change),
    /// A process starts.
    Join(Join),
    /// Adds an active member to the voters or removes a departed one, one member at a time.
    #[serde(rename = "Seat")]
    #[strum(serialize = "Seat")]
    ChangeVoters(VoterChange),
    /// Suspects a member that its peers have had no contact with.
    Suspect(Member),
    /// A suspected member proves that it is alive.
    Refute(Member),
    /// Revokes all rights of a suspected member.
    Retire(Retire),
    /// A member departs at the end of a planned stop.
    Leave(Member),
    /// A keeper becomes the placement leader.
    Lead(Member),
    /// The placement leader gives up its leadership.
    Resign(Member),
    /// Announces an order to an engine before it is sent.
    Intent(Intent),
    /// Closes an intent with its result.
    Settled(Settled),
    /// Replaces the recorded contents of an engine, for instance after its restart.
    Report(Report),
    /// States a member's share of each workspace's rate and burst.
    Declare(Declaration),
    /// Announces a call that must run at most once before it is sent.
    Claim(Claim),
    /// Closes a claim with its result.
    Finish(Finish),
    /// Drops closed claims and remembered commands older than an offset.
    Expire(Offset),
}

impl Record {
    /// Returns the only member that may write the record, `None` if any active member may.
    pub fn subject(&self) -> Option<&Member> {
        match self {
            Self::Join(join) => Some(&join.member),
            Self::Refute(member)
            | Self::Leave(member)
            | Self::Lead(member)
            | Self::Resign(member) => Some(member),
            Self::Intent(intent) => Some(&intent.leader),
            Self::Declare(declaration) => Some(&declaration.member),
            Self::Claim(claim) => Some(&claim.member),
            Self::Change(_)
            | Self::ChangeVoters(_)
            | Self::Suspect(_)
            | Self::Retire(_)
            | Self::Settled(_)
            | Self::Report(_)
            | Self::Finish(_)
            | Self::Expire(_) => None,
        }
    }
}
