//! The state of an endpoint on which routing is based.

use crate::id::{Domain, Endpoint};
use crate::route::Health;

/// `Load` holds a gate's estimate of an endpoint's load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests of this gate in flight at the endpoint.
    pub in_flight: u32,
    /// Running and waiting requests according to the endpoint's last report.
    pub reported: u32,
    /// Time at which the report was taken, in ms; 0 if there is none.
    pub reported_ms: u64,
    /// Requests that this gate has dispatched to the endpoint since `reported_ms`.
    pub dispatched_since: u32,
    /// Prompt tokens of this gate's requests there that have no first event yet.
    pub own_prompt: u64,
    /// Prompt tokens of such requests of other gates according to the report.
    pub reported_prompt: u64,
}

/// `Candidate` describes an endpoint that has a confirmed copy of what the request needs or is an instance of its service.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Its failure domain.
    pub domain: &'a Domain,
    /// Whether it is leaving according to the VM list, the configuration or its own answer.
    pub leaving: bool,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Its pace in thousandths of its service's usual one; see `pace`.
    pub pace_permille: u64,
    /// Its load.
    pub load: Load,
    /// Its health as observed by this gate.
    pub health: &'a Health,
    /// Blocks of the prompt assumed to be in its cache; see `PrefixCache::cached_blocks`.
    pub cached_blocks: u32,
    /// Whether this request was already attempted there.
    pub attempted: bool,
}
