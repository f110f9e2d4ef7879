//! Bodies of answers, and the bounded reading of bodies of requests.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use quetzalpick_node::http::body;
use tokio::sync::mpsc;

use crate::api::refusal::{Kind, Refusal};

/// Events that a stream may be ahead of its caller.
const STREAM_EVENTS: usize = 16;

/// `Reply` is the body of an answer.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A whole body.
    Whole(Full<Bytes>),
    /// A stream.
    Stream(mpsc::Receiver<Bytes>),
}

impl Reply {
    /// Makes a whole body.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
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
            Self::Whole(full) => Pin::new(full).poll_frame(cx),
            Self::Stream(events) => {
                let event = events.poll_recv(cx);
                event.map(|event| event.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Stream(events) => events.is_closed() && events.is_empty(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
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
    body: Incoming,
    max_bytes: usize,
    within: Duration,
) -> Result<Bytes, Refusal> {
    let refuse = |error: body::Error| {
        let kind = match error {
            body::Error::TooLong { .. } => Kind::RequestTooLarge,
            body::Error::TooSlow { .. } => Kind::TimeoutError,
            body::Error::Broken { .. } => Kind::InvalidRequestError,
        };
        Refusal::not_run(kind, format!("the {error}"))
    };
    body::collect(body, max_bytes, within).await.map_err(refuse)
}
