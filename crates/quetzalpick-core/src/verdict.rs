//! What is known about whether a request ran.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// `Verdict` says whether a request may have run at an endpoint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Nothing left this VM, or the endpoint's own refusal proves that nothing ran.
    NotRun,
    /// The request left this VM and no answer settles what became of it.
    MayHaveRun,
    /// The endpoint answered for this request.
    Ran,
}

impl Verdict {
    /// Tells whether a call with this verdict may be sent again.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}
