//! Why a request is not sent to endpoints.

use quetzalpick_core::quarantine::Part;
use strum::Display;

/// `Reason` tells how it is known that a part crashes endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Reason {
    /// A leader has quarantined the part.
    Quarantined,
    /// No leader answers, and this VM has seen a crash that the part may have caused, and never an answer.
    Suspected,
}

/// `Block` names the part because of which a request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Block {
    pub(crate) part: Part,
    pub(crate) reason: Reason,
}
