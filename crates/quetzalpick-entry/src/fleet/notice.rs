//! What VMs tell each other about the requests that endpoints take.

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::limit::{Rate, Statement};
use quetzalpick_core::room::Tolerance;
use serde::{Deserialize, Serialize};

use crate::fleet::limited::Said;

/// Longest time that a message between VMs takes, in ms; what arrives later is not used.
const TRANSIT_MS: u64 = 500;

/// `Notice` tells another VM what an endpoint says of the requests that it takes.
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
    /// What it says of falling over; `None` if that is not known.
    #[serde(default)]
    pub tolerance: Option<ToleranceNotice>,
    /// Set if it is cold.
    #[serde(default)]
    pub cold: Option<ColdNotice>,
}

/// `ColdNotice` tells another VM that an endpoint is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// Requests a second that it takes from all VMs together.
    pub rate: Rate,
    /// How much longer it is cold, in ms.
    pub left_ms: u64,
}

/// `ToleranceNotice` tells another VM whether an endpoint may fall over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToleranceNotice {
    /// Requests that it can decline in a second; `None` if it does not fall over.
    pub value: Option<Tolerance>,
    /// Time since the request was sent whose answer said so, in ms.
    pub sent_ago_ms: u64,
    /// Time since that answer arrived, in ms.
    pub received_ago_ms: u64,
}

impl Notice {
    /// Creates a notice of what an endpoint has said.
    pub(crate) fn new(
        now_ms: u64,
        endpoint: &Endpoint,
        started_ms: Option<u64>,
        said: Said,
        cold: Option<ColdNotice>,
    ) -> Self {
        let tolerance = said.tolerance.map(|statement| ToleranceNotice {
            value: statement.value,
            sent_ago_ms: now_ms.saturating_sub(statement.sent_ms),
            received_ago_ms: now_ms.saturating_sub(statement.received_ms),
        });
        Self {
            endpoint: endpoint.clone(),
            started_ms,
            rate: said.rate.value,
            sent_ago_ms: now_ms.saturating_sub(said.rate.sent_ms),
            received_ago_ms: now_ms.saturating_sub(said.rate.received_ms),
            tolerance,
            cold,
        }
    }

    /// Returns what the endpoint has said in this VM's time.
    pub(crate) fn said(&self, now_ms: u64) -> Said {
        let tolerance = self.tolerance.map(|notice| {
            let ToleranceNotice {
                value,
                sent_ago_ms,
                received_ago_ms,
            } = notice;
            statement(now_ms, value, sent_ago_ms, received_ago_ms)
        });
        Said {
            rate: statement(now_ms, self.rate, self.sent_ago_ms, self.received_ago_ms),
            tolerance,
        }
    }
}

/// Returns a statement in this VM's time; the notice may have been under way for a while.
fn statement<T>(
    now_ms: u64,
    value: Option<T>,
    sent_ago_ms: u64,
    received_ago_ms: u64,
) -> Statement<T> {
    let sent_ms = now_ms.saturating_sub(sent_ago_ms);
    Statement {
        value,
        sent_ms: sent_ms.saturating_sub(TRANSIT_MS),
        received_ms: now_ms.saturating_sub(received_ago_ms),
    }
}
