//! Bodies of answers, and the bounded reading of bodies of requests.

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

/// Events that a stream may be ahead of its caller.
const STREAM_EVENTS: usize = 16;

/// Most bytes of a refused request's body that are read and dropped.
const DISCARD_MAX_BYTES: usize = 64 << 20;

/// Longest time that the body of a refused request is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// `Reply` is the body of an answer.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A whole body.
    Full(Full<Bytes>),
    /// A stream.
    Stream(mpsc::Receiver<Bytes>),
}

impl Reply {
    /// Makes a whole body.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// Makes a stream and the sender that feeds it.
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

/// Reads a request's body, bounded in size (bytes) and time.
///
/// # Errors
///
/// A refusal if the body is too large, comes too slowly or breaks off.
pub(crate) async fn read(
    body: &mut Incoming,
    max_bytes: usize,
    within: Duration,
) -> Result<Bytes, Refusal> {
    match timeout(within, Limited::new(body, max_bytes).collect()).await {
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
            let message = format!("the body did not arrive within {} ms", within.as_millis());
            Err(Refusal::not_run(Kind::TimeoutError, message))
        }
    }
}

/// Reads and drops what a refused caller still sends, for a short time.
///
/// Callers that send everything before they read would otherwise find a reset connection instead of the refusal.
pub(crate) async fn discard(body: &mut Incoming) {
    let rest = Limited::new(body, DISCARD_MAX_BYTES);
    let arriving = rest.into_data_stream();
    let arriving = arriving.take_while(|part| ready(part.is_ok()));
    let dropping = arriving.for_each(|_| ready(()));
    // What is larger or slower than that meets a closed connection.
    let _ = timeout(DISCARD_TIMEOUT, dropping).await;
}
