//! The envelope of a record, and the list of records.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::errors::{Result, decode_error, encode_error};
use crate::id::{Command, Member, Offset, Revision};
use crate::record::{
    Change, Claim, Declaration, Finish, Intent, Join, Report, Retire, Settled, VoterChange,
};

/// `Author` says who wrote an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Author {
    /// A process of the system; entries of a member that is not active are rejected.
    Member(Member),
    /// An operator, by name, whose command a keeper appended.
    Operator(String),
}

/// `Entry` is one appended record with what the fold needs to decide about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique id; the fold counts a command once, however often it was appended.
    pub command: Command,
    /// Who wrote it.
    pub author: Author,
    /// The configuration revision that the writer saw; another one rejects the entry.
    pub expect: Option<Revision>,
    /// What is to be recorded.
    pub record: Record,
}

impl Entry {
    /// Encodes the entry for the log.
    ///
    /// # Errors
    ///
    /// `Error::Encode` if the codec refuses.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).map_err(|e| encode_error("entry", e))
    }

    /// Decodes an entry read from the log.
    ///
    /// # Errors
    ///
    /// `Error::Decode` if the bytes are not an entry that this program knows.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|e| decode_error("entry", e))
    }
}

/// `Record` is what an entry records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
pub enum Record {
    /// A change of configuration; the only record that raises the revision.
    Change(Change),
    /// A process starts.
    Join(Join),
    /// A joined member becomes a voter, or a departed one ceases to be: one change at a time.
    #[serde(rename = "Seat")]
    #[strum(serialize = "Seat")]
    ChangeVoters(VoterChange),
    /// A member was not heard of by its peers.
    Suspect(Member),
    /// A suspected member shows that it lives.
    Refute(Member),
    /// A suspected member loses all rights.
    Retire(Retire),
    /// A member ends a planned stop.
    Leave(Member),
    /// A member takes over placement.
    Lead(Member),
    /// The placement leader gives it up.
    Resign(Member),
    /// An order that is about to be sent to an engine.
    Intent(Intent),
    /// What became of an intent.
    Settled(Settled),
    /// What an engine was found to hold, as after its restart.
    Report(Report),
    /// What a member holds of each workspace's rate and burst.
    Declare(Declaration),
    /// A call that must run at most once is about to be sent.
    Claim(Claim),
    /// What became of a claim.
    Finish(Finish),
    /// Claims and remembered commands up to an offset are old enough to be dropped.
    Expire(Offset),
}

impl Record {
    /// Returns the member that the record speaks for, `None` if any active member may write it.
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
