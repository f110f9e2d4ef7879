//! Options of the placement leader.

use std::time::Duration;

use quetzalpick_core::plan;
use quetzalpick_core::record::ORDER_LATENESS_MS;

/// `Options` configures the planner, the interval of rounds and the timeouts of placement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Policy and limits of the planner.
    pub planner: plan::Options,
    /// Time between two rounds.
    pub round_interval: Duration,
    /// Maximum time for which a sent order may still reach its engine.
    pub order_lateness: Duration,
    /// Time after which an order without a visible effect is sent again.
    pub resend_interval: Duration,
    /// Timeout of a request for an engine's report or for the VM list.
    pub report_timeout: Duration,
    /// Time without a report after which the planner assigns no new copies to an engine.
    pub silence_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            planner: plan::Options::default(),
            round_interval: Duration::from_millis(500),
            order_lateness: Duration::from_millis(ORDER_LATENESS_MS),
            resend_interval: Duration::from_secs(2),
            report_timeout: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(3),
        }
    }
}
