//! Report of a VM on the crash of an endpoint.

use serde::{Deserialize, Serialize};

use crate::id::Endpoint;
use crate::quarantine::Part;

/// `Crash` describes one start of an endpoint that broke off requests before their first event, as one VM saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When the endpoint had started by its own clock, in ms; `None` if it is not known.
    pub started_ms: Option<u64>,
    /// Time since the crash, in ms: VMs have no common clock.
    pub ago_ms: u64,
    /// Parts of the requests that were broken off, without the last part of each prompt, sorted.
    pub parts: Vec<Part>,
}
