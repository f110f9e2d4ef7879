//! How many requests an endpoint may decline before it falls over.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Tolerance` is the number of requests that an endpoint can decline in a second; it falls over if it has to decline more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tolerance(pub u64);

impl fmt::Display for Tolerance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
