//! Exit codes of the command line.

use strum::Display;

use quetzalpick_language::Reply;

use crate::errors::{Error, Result};

/// `Exit` maps the outcome of a line to an exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Exit {
    /// 0: the query was answered or the command accepted.
    Done,
    /// 1: the line was rejected or invalid, and had no effect.
    Rejected,
    /// 2: the command-line arguments are invalid.
    Usage,
    /// 3: the line was not sent, and had no effect.
    NotSent,
    /// 4: the outcome is unknown; query it by the command's id.
    Unknown,
}

impl Exit {
    /// Returns the exit code.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Classifies the result of a line.
    pub fn from_result(result: &Result<Reply>) -> Self {
        match result {
            Ok(Reply::Table { .. } | Reply::Accepted { .. }) => Self::Done,
            Ok(Reply::Rejected { .. } | Reply::Invalid { .. }) => Self::Rejected,
            Ok(Reply::NotSent { .. }) => Self::NotSent,
            Ok(Reply::Unknown { .. }) | Err(Error::Unknown { .. }) => Self::Unknown,
            Err(Error::Unreachable { .. } | Error::Refused { .. }) => Self::NotSent,
            Err(_) => Self::Usage,
        }
    }
}
