//! Why a request is not sent to endpoints.

use quetzalpick_core::quarantine::Feature;
use strum::Display;

/// `Reason` tells how it is known that requests with a feature crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Reason {
    /// A leader has quarantined the feature.
    Quarantined,
    /// No leader answers, and this VM has seen a crash that the feature may have caused, and never an answer.
    Suspected,
}

/// `Block` names the feature because of which a request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Block {
    pub(crate) feature: Feature,
    pub(crate) reason: Reason,
}
