//! Answer bodies, and reading of request bodies with limits on size and time.

use std::convert::Infallible;
use std::future::ready;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::api::refusal::{Kind, Refusal};

/// Capacity of the channel between a stream and its caller, in events.
const STREAM_EVENTS: usize = 16;

/// Maximum number of bytes of a refused request's body that are read and discarded.
const DISCARD_MAX_BYTES: usize = 64 << 20;

/// Maximum time for which the body of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

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
/// A refusal if the body is too large, arrives too slowly or ends early.
pub(crate) async fn read(
    body: &mut Incoming,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, Refusal> {
    match timeout(time_limit, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::not_run(
            Kind::RequestTooLarge,
            format!("the body is longer than {max_bytes} bytes"),
        )),
        Ok(Err(_)) => {
            let message = "the body broke off";
            Err(Refusal::not_run(Kind::InvalidRequestError, message))
        }
        Err(_) => {
            let message = format!(
                "the body did not arrive within {} ms",
                time_limit.as_millis()
            );
            Err(Refusal::not_run(Kind::TimeoutError, message))
        }
    }
}

/// Reads and discards the rest of a refused request for a short time.
///
/// Callers that send the complete request before reading would otherwise get a connection reset instead of the refusal.
pub(crate) async fn discard(body: &mut Incoming) {
    let rest = Limited::new(body, DISCARD_MAX_BYTES);
    let chunks = rest.into_data_stream();
    let chunks = chunks.take_while(|chunk| ready(chunk.is_ok()));
    let discarding = chunks.for_each(|_| ready(()));
    // The connection of a larger or slower request is closed.
    let _ = timeout(DISCARD_TIMEOUT, discarding).await;
}
