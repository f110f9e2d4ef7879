//! Operations that the caller performs for an election, and their results.

use crate::election::Claim;
use crate::id::{Offset, Position};

/// `Step` is the next operation that the caller performs for an `Election`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Wait this long, in ms.
    Wait(u64),
    /// Read the log from a position on, or from its oldest record.
    Read(Option<Position>),
    /// Append a claim if the log ends at this position.
    Append(Claim, Position),
}

/// `Tail` describes the end of the log as returned by a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tail {
    /// End of the log.
    pub end: Position,
    /// Newest record returned by the read and its offset; `None` if it returned none.
    pub newest: Option<(Offset, Claim)>,
}

/// `Appended` is the result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// The record was appended at this position.
    At(Position),
    /// The log ends elsewhere, and nothing was appended.
    Conflict,
    /// The outcome is unknown: the record may have been appended or may still be.
    Unknown,
    /// Nothing was appended.
    Failed,
}
