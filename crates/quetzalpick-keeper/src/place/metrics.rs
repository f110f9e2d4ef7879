//! Metrics of placement.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use quetzalpick_core::record::{Operation, Settlement};

/// `PlacementMetrics` counts the orders that the leader announced and settled.
#[derive(Debug, Clone)]
pub(crate) struct PlacementMetrics {
    announced: Counter<u64>,
    settled: Counter<u64>,
}

impl PlacementMetrics {
    /// Registers the counters with a meter.
    pub(crate) fn new(meter: &Meter) -> Self {
        let announced = meter.u64_counter("quetzalpick_keeper_announced");
        let settled = meter.u64_counter("quetzalpick_keeper_settled");
        Self {
            announced: announced
                .with_description("Orders announced to engines, by order.")
                .build(),
            settled: settled
                .with_description("Orders settled, by outcome.")
                .build(),
        }
    }

    /// Counts an accepted intent.
    pub(crate) fn record_announced(&self, operation: &Operation) {
        let order: &'static str = operation.into();
        self.announced.add(1, &[KeyValue::new("order", order)]);
    }

    /// Counts a settled order.
    pub(crate) fn record_settled(&self, settlement: Settlement) {
        self.settled
            .add(1, &[KeyValue::new("outcome", settlement.to_string())]);
    }
}
