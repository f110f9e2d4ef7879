//! A route: which requests go to which service, and how.

use quetzalpick_core::id::Service;
use strum::Display;

/// `Kind` says what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// A request is answered by a stream of events.
    Stream {
        /// Whether a broken stream may go on at another endpoint.
        resumable: bool,
    },
}

impl Kind {
    /// Tells whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// `Target` is a service that gets a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its part, against the sum of all parts.
    pub weight: u64,
}

/// `Route` takes the requests of a host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Begin of the path; it ends with a slash.
    pub prefix: String,
    /// Services, of which each request goes to one.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time to a complete answer, in ms.
    pub timeout_ms: Option<u64>,
    /// Time to the answer, or to a stream's first event, for full use to the caller, in ms.
    pub objective_ms: Option<u64>,
    /// Longest pause between a stream's events for full use to the caller, in ms.
    pub pause_ms: Option<u64>,
    /// Rank, 0 is first.
    pub priority: u8,
    /// Most endpoints at which a request may run.
    pub attempts: u32,
    /// Whether requests need no key.
    pub open: bool,
}

impl Route {
    /// Picks a service for a request by its random number; `None` if no service has a weight.
    pub fn service(&self, random: u64) -> Option<&Service> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut at = random.checked_rem(total)?;
        for target in &self.targets {
            if at < target.weight {
                return Some(&target.service);
            }
            at -= target.weight;
        }
        None
    }
}
