//! What the pauses of a stream tell about the pace of its endpoint.

use std::sync::Arc;

use crate::fleet::Pick;
use crate::serve::Context;
use crate::serve::request::Admitted;

/// Events over which the pauses of a stream are averaged for one observation, and the fewest that count at its end.
const EVENTS: u64 = 8;
const EVENTS_MIN: u64 = 3;

/// Time that a caller takes for an event from which on it reads slowly, in ms: what follows has waited for it.
const SLOW_READER_MS: u64 = 20;

/// `Pacing` collects the pauses before the events of one stream.
///
/// A stream that was repeated or resumed, or whose caller reads slowly, is not counted any more.
#[derive(Debug)]
pub(crate) struct Pacing {
    is_counted: bool,
    events: u64,
    paused_ms: u64,
    longest_ms: u64,
}

impl Pacing {
    /// Starts with the answer to a request.
    pub(crate) fn new(admitted: &Admitted) -> Self {
        Self {
            is_counted: admitted.attempted.len() == 1,
            events: 0,
            paused_ms: 0,
            longest_ms: 0,
        }
    }

    /// Returns the longest pause before an event after the first, in ms.
    pub(crate) fn longest_ms(&self) -> u64 {
        self.longest_ms
    }

    /// Ends the collection.
    pub(crate) fn stop(&mut self) {
        self.is_counted = false;
    }

    /// Records that the caller took a time for an event, in ms.
    pub(crate) fn record_delivery(&mut self, took_ms: u64) {
        self.is_counted &= took_ms < SLOW_READER_MS;
    }

    /// Adds events that came after a pause, in ms, and observes their endpoint's pace from time to time.
    pub(crate) fn record_events<E, S>(
        &mut self,
        context: &Arc<Context<E, S>>,
        route: &str,
        pick: &Pick,
        pause: (u64, u64),
    ) {
        let (events, paused_ms) = pause;
        self.events += events;
        self.paused_ms += paused_ms;
        self.longest_ms = self.longest_ms.max(paused_ms);
        if self.events >= EVENTS {
            self.observe(context, route, pick);
        }
    }

    /// Observes the endpoint's pace at the end of the stream.
    pub(crate) fn end<E, S>(&mut self, context: &Arc<Context<E, S>>, route: &str, pick: &Pick) {
        if self.events >= EVENTS_MIN {
            self.observe(context, route, pick);
        }
    }

    fn observe<E, S>(&mut self, context: &Arc<Context<E, S>>, route: &str, pick: &Pick) {
        if self.is_counted {
            let pause_us = self.paused_ms * 1_000 / self.events.max(1);
            context.fleet.observe_pace(pick, route, pause_us);
        }
        (self.events, self.paused_ms) = (0, 0);
    }
}
