//! Report of a VM on the crash of an endpoint.

use serde::{Deserialize, Serialize};

use crate::id::Endpoint;
use crate::quarantine::Feature;

/// `Crash` describes one start of an endpoint that broke off requests, as one VM saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When the endpoint had started by its own clock, in ms; `None` if it is not known.
    pub started_ms: Option<u64>,
    /// Time since the crash, in ms: VMs have no common clock.
    pub ago_ms: u64,
    /// The requests that were broken off, and the parts of the prompts of those without an event, but for the last part of each;
    /// sorted.
    pub features: Vec<Feature>,
}
