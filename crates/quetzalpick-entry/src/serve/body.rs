//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use quetzalpick_node::http::memory::Memory;
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::serve::fragments::{Fragment, Sender};

/// `Interrupted` ends an answer that cannot be completed, which closes the connection before the body's end.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the answer broke off: {reason}"))]
pub(crate) struct Interrupted {
    pub(crate) reason: String,
}

/// `Body` holds a complete body or receives it in fragments.
#[derive(Debug)]
pub(crate) enum Body {
    /// A complete body; `None` once it is sent or if it is empty.
    Full(Option<Bytes>),
    /// A body whose fragments arrive as the endpoint sends them.
    Streamed {
        fragments: mpsc::UnboundedReceiver<Fragment>,
        /// Length that the endpoint announced.
        length: Option<u64>,
        /// Interruption that the connection is told next.
        interruption: Option<Interrupted>,
    },
}

impl Body {
    /// Creates a complete body.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }

    /// Creates a body that receives its fragments from the returned sender; the sender closes when the caller leaves.
    pub(crate) fn streamed(length: Option<u64>, memory: Memory) -> (Sender, Self) {
        let (sender, fragments) = Sender::new(memory);
        let body = Self::Streamed {
            fragments,
            length,
            interruption: None,
        };
        (sender, body)
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed {
                fragments,
                interruption,
                ..
            } => {
                if let Some(interruption) = interruption.take() {
                    return Poll::Ready(Some(Err(interruption)));
                }
                // The room of the fragment is free for the next one from here on.
                let fragment = ready!(fragments.poll_recv(cx)).map(Fragment::into_data);
                match fragment {
                    Some(Err(error)) => {
                        // An error drops what hyper has not sent yet; it sends that first while the body is pending.
                        *interruption = Some(error);
                        cx.waker().wake_by_ref();
                        Poll::Pending
                    }
                    fragment => Poll::Ready(fragment.map(|fragment| fragment.map(Frame::data))),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed { length, .. } => {
                length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
