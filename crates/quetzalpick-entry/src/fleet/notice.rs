//! What VMs tell each other about the limits of endpoints.

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::limit::{Rate, Statement};
use serde::{Deserialize, Serialize};

/// Longest time that a message between VMs takes, in ms; what arrives later is not used.
const TRANSIT_MS: u64 = 500;

/// `Notice` tells another VM what an endpoint says about its limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Wall-clock time of its start, in ms since 1970, which identifies its incarnation.
    pub started_ms: Option<u64>,
    /// The limit that it names, if any.
    pub rate: Option<Rate>,
    /// Time since the request was sent whose answer said so, in ms.
    pub sent_ago_ms: u64,
    /// Time since that answer arrived, in ms.
    pub received_ago_ms: u64,
}

impl Notice {
    /// Returns the statement in this VM's time; the notice may have been under way for a while.
    pub(crate) fn statement(&self, now_ms: u64) -> Statement {
        let sent_ms = now_ms.saturating_sub(self.sent_ago_ms);
        Statement {
            rate: self.rate,
            sent_ms: sent_ms.saturating_sub(TRANSIT_MS),
            received_ms: now_ms.saturating_sub(self.received_ago_ms),
        }
    }
}
