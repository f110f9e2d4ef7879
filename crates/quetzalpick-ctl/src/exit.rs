//! Exit codes.

use strum::Display;

use quetzalpick_language::Reply;

use crate::errors::{Error, Result};

/// `Exit` is the outcome of a line as the shell sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Exit {
    /// 0: answered, or accepted.
    Done,
    /// 1: rejected, or wrong, without effect.
    Rejected,
    /// 2: wrong usage of the command line.
    Usage,
    /// 3: not sent, without effect.
    NotSent,
    /// 4: not known; ask for the command by its id.
    Unknown,
}

impl Exit {
    /// Returns the exit code.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Returns the outcome of a line.
    pub fn of(result: &Result<Reply>) -> Self {
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
