//! Identifier of a prompt part.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// `Part` identifies one part of a prompt; equal parts of different prompts have the same identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Part(pub u64);

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Part {
    type Err = ParseIntError;

    /// Parses the `Display` form.
    ///
    /// # Errors
    ///
    /// `ParseIntError` if the text is no hexadecimal number of 64 bits.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
