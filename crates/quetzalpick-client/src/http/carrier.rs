//! The connection that carried an answer.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::num::ParseIntError;
use std::str::FromStr;

/// `Carrier` tells, in the extensions of an answer, on which connection it came and how many had come there before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Carrier {
    /// Number of the connection among those of its pool.
    pub connection: u64,
    /// Number of the answer among those of its connection, from 1.
    pub answer: u64,
}

impl Carrier {
    /// Returns whether no other answer came before it, so that it cannot be a copy of one.
    pub fn is_first(self) -> bool {
        self.answer == 1
    }
}

impl Display for Carrier {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{}/{}", self.connection, self.answer)
    }
}

impl FromStr for Carrier {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (connection, answer) = text.split_once('/').unwrap_or((text, ""));
        Ok(Self {
            connection: connection.parse()?,
            answer: answer.parse()?,
        })
    }
}
