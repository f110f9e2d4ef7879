//! Answer bodies, and reading of request bodies with limits on size and time.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use quetzalpick_node::http::body::{Error, collect};
use quetzalpick_node::http::memory::Memory;
use tokio::sync::mpsc;

use crate::api::refusal::{Kind, Refusal};

/// Capacity of the channel between a stream and its caller, in events.
const STREAM_EVENTS: usize = 16;

/// Retry delay of a long body while memory is short.
const RETRY_AFTER_MEMORY_SHORT: Duration = Duration::from_secs(1);

/// `Reply` holds the body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A body that is complete from the start.
    Full(Full<Bytes>),
    /// A body whose events arrive over a channel.
    Stream(mpsc::Receiver<Bytes>),
}

impl Reply {
    /// Creates a complete body.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// Creates a streamed body and the sender for its events.
    pub(crate) fn stream() -> (mpsc::Sender<Bytes>, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_EVENTS);
        (sender, Self::Stream(receiver))
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full).poll_frame(cx),
            Self::Stream(events) => {
                let event = events.poll_recv(cx);
                event.map(|event| event.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Stream(events) => events.is_closed() && events.is_empty(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Reads a request's body of at most `max_bytes` bytes within a time limit.
///
/// # Errors
///
/// A refusal if the body is too large, arrives too slowly or ends early, or if memory is short.
pub(crate) async fn read(
    body: &mut Incoming,
    memory: &Memory,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, Refusal> {
    collect(body, memory, max_bytes, time_limit)
        .await
        .map_err(|error| {
            let refuse = |kind| Refusal::not_run(kind, format!("the {error}"));
            match &error {
                Error::TooLong { .. } => refuse(Kind::RequestTooLarge),
                Error::TooSlow { .. } => refuse(Kind::TimeoutError),
                Error::MemoryShort => {
                    refuse(Kind::OverloadedError).with_retry_after(RETRY_AFTER_MEMORY_SHORT)
                }
                Error::Broken { .. } => {
                    Refusal::not_run(Kind::InvalidRequestError, "the body broke off")
                }
            }
        })
}
