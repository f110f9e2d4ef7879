//! Options of the placement leader.

use std::time::Duration;

use quetzalpick_core::plan;
use quetzalpick_core::record::ORDER_LATENESS_MS;

/// `Options` sets the pace of placement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Policy and limits of the planner.
    pub planner: plan::Options,
    /// Time between two rounds.
    pub interval: Duration,
    /// Longest time that an order is on its way to an engine.
    pub order_lateness: Duration,
    /// Time after which an order without effect is sent again.
    pub repeat: Duration,
    /// Longest wait for an engine's report.
    pub report: Duration,
    /// Silence after which an engine gets no orders from the plan.
    pub silence: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            planner: plan::Options::default(),
            interval: Duration::from_millis(500),
            order_lateness: Duration::from_millis(ORDER_LATENESS_MS),
            repeat: Duration::from_secs(2),
            report: Duration::from_secs(1),
            silence: Duration::from_secs(3),
        }
    }
}
