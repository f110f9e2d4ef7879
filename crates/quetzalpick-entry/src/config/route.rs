//! Routes: which requests go to which service, and under which rules.

use quetzalpick_core::id::Service;
use strum::Display;

/// `Kind` determines whether a route's requests may be repeated and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// A request is answered by a stream of events.
    Stream {
        /// Whether an interrupted stream may be resumed at another endpoint.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// `Target` assigns a share of a route's requests to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Weight, relative to the sum of all weights of the route.
    pub weight: u64,
}

/// `Route` describes how requests to a host and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host in the requests.
    pub host: String,
    /// Prefix of the path, ends with a slash.
    pub prefix: String,
    /// Services; each request goes to one of them.
    pub targets: Vec<Target>,
    /// Rules for repeats and streams.
    pub kind: Kind,
    /// Timeout for a complete answer, in ms.
    pub timeout_ms: Option<u64>,
    /// Latency objective for the answer, or for a stream's first event, in ms.
    pub objective_ms: Option<u64>,
    /// Objective for the longest pause between a stream's events, in ms.
    pub pause_ms: Option<u64>,
    /// Priority, 0 is highest.
    pub priority: u8,
    /// Maximum number of endpoints at which a request may run.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub open: bool,
}

impl Route {
    /// Returns whether requests may go to a service.
    pub fn leads_to(&self, service: &Service) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| target.service == *service)
    }

    /// Picks a service by weight, using a random number; `None` if all weights are 0.
    pub fn service(&self, random: u64) -> Option<&Service> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut point = random.checked_rem(total)?;
        for target in &self.targets {
            if point < target.weight {
                return Some(&target.service);
            }
            point -= target.weight;
        }
        None
    }
}
