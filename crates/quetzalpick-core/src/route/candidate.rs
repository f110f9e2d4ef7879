//! What is known of an endpoint when a request is routed.

use crate::id::{Domain, Endpoint};
use crate::route::Health;

/// `Load` is what a gate knows of an endpoint's load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests of this gate under way at the endpoint.
    pub in_flight: u32,
    /// Requests running and waiting, by the endpoint's last report.
    pub reported: u32,
    /// Time that the report speaks of, in ms; 0 if there is none.
    pub reported_ms: u64,
    /// Requests that this gate dispatched to the endpoint since that time.
    pub dispatched_since: u32,
}

/// `Candidate` is an endpoint with a confirmed copy of what the request needs, or an instance of its service.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Its failure domain.
    pub domain: &'a Domain,
    /// Whether it is leaving, by the VM list, the configuration or its own answer.
    pub leaving: bool,
    /// Its load.
    pub load: Load,
    /// Its health as this gate saw it.
    pub health: &'a Health,
    /// Blocks of the prompt that its cache is thought to hold: see `PrefixCache::cached_blocks`.
    pub cached_blocks: u32,
    /// Whether this request has been tried there already.
    pub tried: bool,
}
