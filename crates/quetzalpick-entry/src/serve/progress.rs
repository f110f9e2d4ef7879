//! How much of an answer has arrived, and whether its end is really its end.

use std::fmt::{self, Display, Formatter};
use std::future::pending;

use bytes::Bytes;
use http::response::Parts;
use quetzalpick_client::http::Framing;
use quetzalpick_node::http::memory::Memory;

use crate::config::Kind;
use crate::serve::sse::{EventSplitter, Loss, Violation};

/// `Progress` tracks an answer that is relayed while it arrives.
#[derive(Debug)]
pub(crate) struct Progress {
    framing: Framing,
    /// Splits a stream of events; `None` for other answers.
    events: Option<EventSplitter>,
}

impl Progress {
    /// Starts at the head of an answer on a route of a kind; a stream continues after the given event, and what is kept of a long
    /// event has bytes of `memory`.
    pub(crate) fn new(
        kind: Kind,
        head: &Parts,
        last_event_id: Option<u64>,
        memory: &Memory,
    ) -> Self {
        let is_event_stream = kind.is_stream() && head.status.is_success();
        Self {
            framing: Framing::of(head),
            events: is_event_stream.then(|| EventSplitter::resume_after(last_event_id, memory)),
        }
    }

    /// Starts at the head of an answer that must go on after the given event of a stream.
    pub(crate) fn resumed(
        kind: Kind,
        head: &Parts,
        last_event_id: Option<u64>,
        memory: &Memory,
    ) -> Self {
        let mut progress = Self::new(kind, head, last_event_id, memory);
        if let Some(events) = progress.events.as_mut().filter(|_| last_event_id.is_some()) {
            events.require_continuation();
        }
        progress
    }

    /// Returns the reason why no further bytes belong to the stream, if there is one; they are not forwarded.
    pub(crate) fn violation(&self) -> Option<Violation> {
        self.events.as_ref()?.violation()
    }

    /// Waits until the memory of an incomplete event is given to others.
    pub(crate) async fn lost(&self) {
        match &self.events {
            Some(events) => events.lost().await,
            None => pending().await,
        }
    }

    /// Drops an incomplete event for lack of memory.
    pub(crate) fn lose(&mut self, loss: Loss) {
        self.events.iter_mut().for_each(|events| events.lose(loss));
    }

    /// Drops an incomplete event, which its endpoint does not complete.
    pub(crate) fn drop_event(&mut self) {
        self.events.iter_mut().for_each(EventSplitter::drop_event);
    }

    /// Returns whether the answer is a stream of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        self.events.is_some()
    }

    /// Returns the number of complete events.
    pub(crate) fn events(&self) -> u64 {
        self.events.as_ref().map_or(0, EventSplitter::events)
    }

    /// Returns the framing of the endpoint's answer.
    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    /// Adds bytes and returns what can be forwarded, if anything; a stream is forwarded in complete events.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        match &mut self.events {
            Some(events) => events.push(&bytes),
            None => Some(bytes).filter(|bytes| !bytes.is_empty()),
        }
    }

    /// Returns the reason why an answer whose bytes have ended is incomplete nevertheless, if it is.
    pub(crate) fn missing_end(&self) -> Option<&'static str> {
        let events = self.events.as_ref()?;
        if events.incomplete_bytes() > 0 {
            Some("the stream ended inside an event")
        } else if self.framing == Framing::ConnectionEnd && events.events() == 0 {
            Some("the connection ended before the first event")
        } else {
            None
        }
    }

    /// Returns whether another stream can continue behind what was forwarded.
    pub(crate) fn can_continue(&self) -> bool {
        let events = self.events.as_ref();
        events.is_some_and(|events| {
            // Events without ids cannot be named to another endpoint.
            let has_position = events.last_id().is_some() || events.events() == 0;
            events.is_at_event_end() && has_position
        })
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.events.as_ref().and_then(EventSplitter::last_id)
    }
}

impl Display for Progress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let framing = self.framing;
        write!(formatter, "framing={framing}")?;
        let Some(events) = &self.events else {
            return Ok(());
        };
        let (complete, rest) = (events.events(), events.incomplete_bytes());
        write!(formatter, " events={complete} incomplete_bytes={rest}")
    }
}
