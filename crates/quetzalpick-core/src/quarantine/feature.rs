//! What requests that crash endpoints may have in common.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Prefix of the text that identifies a request.
const REQUEST_PREFIX: &str = "request-";

/// `Feature` identifies what several requests have in common, and what may be the reason why endpoints crash on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(bool, u64)", into = "(bool, u64)")]
pub enum Feature {
    /// A part of the prompt, by its identifier; equal parts of different prompts have the same one.
    Part(u64),
    /// The whole request, by its digest, which its repeats share.
    Request(u64),
}

impl Feature {
    /// Returns whether it identifies a whole request.
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl From<(bool, u64)> for Feature {
    fn from((is_request, id): (bool, u64)) -> Self {
        if is_request {
            Self::Request(id)
        } else {
            Self::Part(id)
        }
    }
}

impl From<Feature> for (bool, u64) {
    fn from(feature: Feature) -> Self {
        let (Feature::Part(id) | Feature::Request(id)) = feature;
        (feature.is_request(), id)
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "{id:x}"),
            Self::Request(digest) => write!(f, "{REQUEST_PREFIX}{digest:016x}"),
        }
    }
}

impl FromStr for Feature {
    type Err = ParseIntError;

    /// Parses the `Display` form.
    ///
    /// # Errors
    ///
    /// `ParseIntError` if the identifier is no hexadecimal number of 64 bits.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let id = |text| u64::from_str_radix(text, 16);
        match text.strip_prefix(REQUEST_PREFIX) {
            Some(digest) => id(digest).map(Self::Request),
            None => id(text).map(Self::Part),
        }
    }
}
