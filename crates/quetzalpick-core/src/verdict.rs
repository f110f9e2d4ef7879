//! Classifies whether a request ran at an endpoint.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// `Verdict` states whether a request may have run at an endpoint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Nothing was sent, or the endpoint's own refusal proves that the request did not run.
    NotRun,
    /// The request was sent and no answer determines its outcome.
    MayHaveRun,
    /// The endpoint answered the request.
    Ran,
}

impl Verdict {
    /// Returns true if a call with this verdict may be retried.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}
