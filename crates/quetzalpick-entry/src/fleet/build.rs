//! Versions of the software that endpoints run.

use serde::{Deserialize, Serialize};

/// `Build` names the version of an endpoint's software; builds are only compared for equality.
///
/// It is not the version of the weights, which one build may serve in several versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Build(String);

impl Build {
    /// Creates a build with a name.
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// Returns the name, for the log.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
