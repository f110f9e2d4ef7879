//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

/// Parts of an answer that may wait for a caller who reads slowly.
const WAITING_MAX: usize = 8;

/// `Broken` ends an answer that cannot be completed: the connection is closed before the body's end.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the answer broke off: {reason}"))]
pub(crate) struct Broken {
    pub(crate) reason: String,
}

/// `Body` is the body of an answer.
#[derive(Debug)]
pub(crate) enum Body {
    /// It is there as a whole.
    Whole(Option<Bytes>),
    /// Its parts come as the endpoint sends them.
    Parts {
        parts: mpsc::Receiver<Result<Bytes, Broken>>,
        /// Length that the endpoint announced.
        length: Option<u64>,
    },
}

impl Body {
    /// Makes a body of bytes.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }

    /// Makes a body whose parts are sent through the sender; the sender sees when the caller is gone.
    pub(crate) fn parts(length: Option<u64>) -> (mpsc::Sender<Result<Bytes, Broken>>, Self) {
        let (sender, parts) = mpsc::channel(WAITING_MAX);
        (sender, Self::Parts { parts, length })
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Parts { parts, .. } => {
                let part = parts.poll_recv(cx);
                part.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Parts { length, .. } => {
                length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
