//! Bodies of answers, and the bounded reading of bodies of requests.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, SizeHint};

use crate::api::refusal::{Kind, Refusal};

/// Frames that a stream may be ahead of its caller.
const STREAM_FRAMES: usize = 16;

/// `Aborted` ends an answer that cannot be completed: the connection is closed instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the answer was aborted"))]
pub struct Aborted;

/// `Reply` is the body of an answer.
#[derive(Debug)]
pub enum Reply {
    /// A whole body.
    Whole(Full<Bytes>),
    /// A stream.
    Stream(Channel<Bytes, Aborted>),
}

impl Reply {
    /// Makes a whole body.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// Makes a stream and the sender that feeds it.
    pub(crate) fn stream() -> (Sender<Bytes, Aborted>, Self) {
        let (sender, channel) = Channel::new(STREAM_FRAMES);
        (sender, Self::Stream(channel))
    }
}

/// Adapts an error that cannot happen.
fn never<T>(result: Result<T, Infallible>) -> Result<T, Aborted> {
    result.map_err(|never| match never {})
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Self::Whole(full) => Pin::new(full).poll_frame(cx).map(|f| f.map(never)),
            Self::Stream(channel) => Pin::new(channel).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Stream(channel) => channel.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Stream(channel) => channel.size_hint(),
        }
    }
}

/// Reads a request's body, bounded in size (bytes) and time.
///
/// # Errors
///
/// A refusal if the body is too large, comes too slowly or breaks off.
pub(crate) async fn read<B>(body: B, max_bytes: usize, within: Duration) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = tokio::time::timeout(within, Limited::new(body, max_bytes).collect()).await;
    match collected {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::not_run(
            Kind::RequestTooLarge,
            format!("the body is larger than {max_bytes} bytes"),
        )),
        Ok(Err(_)) => Err(Refusal::not_run(
            Kind::InvalidRequestError,
            "the body broke off",
        )),
        Err(_) => Err(Refusal::not_run(
            Kind::TimeoutError,
            format!("the body did not arrive within {} ms", within.as_millis()),
        )),
    }
}
