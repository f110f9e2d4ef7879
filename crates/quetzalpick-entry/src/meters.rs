//! Metrics of an entry: counters and latency histograms.

use http::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use quetzalpick_client::http::Framing;
use quetzalpick_core::id::Domain;
use quetzalpick_core::route::Reason;

use crate::place::{Action, OrderResult};
use crate::serve::{Cause, Loss};

/// `Meters` records what happens to requests, orders to model engines and evacuations as metrics.
#[derive(Debug, Clone)]
pub(crate) struct Meters {
    answers: Counter<u64>,
    refusals: Counter<u64>,
    sends: Counter<u64>,
    choices: Counter<u64>,
    forwarded: Counter<u64>,
    permits: Counter<u64>,
    orders: Counter<u64>,
    streams: Counter<u64>,
    dropped: Counter<u64>,
    evacuated: Gauge<u64>,
    evacuated_in_flight: Gauge<u64>,
    answer_ms: Histogram<f64>,
    stream_ms: Histogram<f64>,
}

impl Meters {
    /// Registers the metrics.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let histogram = |name: &'static str, text: &'static str| {
            meter.f64_histogram(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            answers: counter(
                "quetzalpick_entry_answers",
                "Answers to callers, by status.",
            ),
            refusals: counter("quetzalpick_entry_refusals", "Refused requests, by cause."),
            sends: counter(
                "quetzalpick_entry_sends",
                "Requests sent to endpoints, repeats included.",
            ),
            choices: counter(
                "quetzalpick_entry_choices",
                "Choices of an endpoint, by reason.",
            ),
            forwarded: counter(
                "quetzalpick_entry_forwarded",
                "Requests sent to endpoints through other VMs, by whether they were answered.",
            ),
            permits: counter(
                "quetzalpick_entry_permits",
                "Requests for the permit to send to an endpoint at its limit, by outcome and by whether it is cold.",
            ),
            orders: counter(
                "quetzalpick_entry_orders",
                "Orders to model engines that were answered, by action, reason and outcome.",
            ),
            streams: counter(
                "quetzalpick_entry_streams",
                "Relayed answers, by their end and by the framing of the endpoint's answer.",
            ),
            dropped: counter(
                "quetzalpick_entry_events_dropped",
                "Incomplete events of streams that were dropped for lack of memory, by cause.",
            ),
            evacuated: gauge(
                "quetzalpick_entry_evacuated",
                "Whether a failure domain is evacuated, by domain.",
            ),
            evacuated_in_flight: gauge(
                "quetzalpick_entry_evacuated_in_flight",
                "Requests of this VM in flight in an evacuated failure domain, by domain.",
            ),
            answer_ms: histogram(
                "quetzalpick_entry_answer_ms",
                "Time from a request's head to the head of its answer, in ms.",
            ),
            stream_ms: histogram(
                "quetzalpick_entry_stream_ms",
                "Time from a request's head to the end of its relayed answer, in ms.",
            ),
        }
    }

    /// Counts an answer and records its latency.
    pub(crate) fn answered(&self, status: StatusCode, took_ms: u64) {
        let status = [KeyValue::new("status", i64::from(status.as_u16()))];
        self.answers.add(1, &status);
        self.answer_ms.record(took_ms as f64, &[]);
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, cause: Cause) {
        let cause: &'static str = cause.into();
        self.refusals.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a request sent to an endpoint.
    pub(crate) fn sent(&self) {
        self.sends.add(1, &[]);
    }

    /// Counts the choice of an endpoint.
    pub(crate) fn chosen(&self, reason: Reason) {
        let reason: &'static str = reason.into();
        self.choices.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request sent to an endpoint through another VM.
    pub(crate) fn forwarded(&self, answered: bool) {
        self.forwarded
            .add(1, &[KeyValue::new("answered", answered)]);
    }

    /// Counts a request for a permit; `is_cold` tells whether its endpoint is cold.
    pub(crate) fn permit(&self, outcome: &'static str, is_cold: bool) {
        let attributes = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("cold", is_cold),
        ];
        self.permits.add(1, &attributes);
    }

    /// Records how many requests are in flight in an evacuated failure domain; `None` once its evacuation has ended.
    pub(crate) fn evacuation(&self, domain: &Domain, in_flight: Option<u64>) {
        let domain = [KeyValue::new("domain", domain.to_string())];
        self.evacuated
            .record(u64::from(in_flight.is_some()), &domain);
        self.evacuated_in_flight
            .record(in_flight.unwrap_or_default(), &domain);
    }

    /// Counts an order to a model engine.
    pub(crate) fn ordered(&self, action: Action, reason: &'static str, outcome: OrderResult) {
        let attributes = [
            KeyValue::new("action", action.to_string()),
            KeyValue::new("reason", reason),
            KeyValue::new("outcome", outcome.to_string()),
        ];
        self.orders.add(1, &attributes);
    }

    /// Counts an incomplete event that was dropped for lack of memory.
    pub(crate) fn dropped(&self, loss: Loss) {
        let cause: &'static str = loss.into();
        self.dropped.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a relayed answer and records its duration.
    pub(crate) fn relayed(&self, end: &'static str, framing: Framing, took_ms: u64) {
        let framing: &'static str = framing.into();
        let attributes = [KeyValue::new("end", end), KeyValue::new("framing", framing)];
        self.streams.add(1, &attributes);
        self.stream_ms.record(took_ms as f64, &[]);
    }
}
