//! Metrics of the gate.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

/// `Meters` holds the counters and histograms of the gate.
#[derive(Debug, Clone)]
pub(crate) struct Meters {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    tokens: Counter<u64>,
    attempts: Counter<u64>,
    resumed: Counter<u64>,
    latency: Histogram<f64>,
}

impl Meters {
    /// Registers the metrics.
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            requests: meter
                .u64_counter("quetzalpick_gate_requests")
                .with_description("Answers to callers, by status.")
                .build(),
            refusals: meter
                .u64_counter("quetzalpick_gate_refusals")
                .with_description("Refused requests, by type and verdict.")
                .build(),
            tokens: meter
                .u64_counter("quetzalpick_gate_output_tokens")
                .with_description("Output tokens relayed or answered.")
                .build(),
            attempts: meter
                .u64_counter("quetzalpick_gate_tries")
                .with_description("Requests sent to endpoints, retries included.")
                .build(),
            resumed: meter
                .u64_counter("quetzalpick_gate_streams_resumed")
                .with_description("Broken streams that went on.")
                .build(),
            latency: meter
                .f64_histogram("quetzalpick_gate_answer_ms")
                .with_description("Time from a request's head to the head of its answer, in ms.")
                .build(),
        }
    }

    /// Counts an answer and records its latency.
    pub(crate) fn answer(&self, status: u16, latency: Duration) {
        let status = [KeyValue::new("status", i64::from(status))];
        self.requests.add(1, &status);
        self.latency.record(latency.as_secs_f64() * 1e3, &[]);
    }

    /// Counts a refusal.
    pub(crate) fn refusal(&self, kind: &'static str, verdict: &'static str) {
        let labels = [
            KeyValue::new("type", kind),
            KeyValue::new("verdict", verdict),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts output tokens.
    pub(crate) fn tokens(&self, count: u64) {
        self.tokens.add(count, &[]);
    }

    /// Counts a request sent to an endpoint.
    pub(crate) fn attempt(&self) {
        self.attempts.add(1, &[]);
    }

    /// Counts a broken stream that was resumed.
    pub(crate) fn resume(&self) {
        self.resumed.add(1, &[]);
    }
}
