//! How the answer to a request is taken from an endpoint: a short one in full, others while they arrive.

use bytes::Bytes;
use http::StatusCode;
use http::response::Parts;
use quetzalpick_client::http::{Body as Answer, Carrier};
use tokio::time::Instant;

use crate::fleet::Pick;
use crate::serve::attempt::{Call, Failure, collect};
use crate::serve::request::Admitted;
use crate::serve::{Context, PeerClient};
use crate::wire::HeadCodec;

/// Longest answer that is buffered in full, in bytes, so that another endpoint can replace it if it is interrupted.
const BUFFERED_MAX_BYTES: u64 = 64 * 1024;

/// `Delivery` determines how the answer to a request is taken from an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Delivery {
    is_stream: bool,
    /// Whether the caller can tell the end of an answer of unknown length.
    supports_chunks: bool,
}

impl Delivery {
    /// Returns how the answer to a request's next attempt is taken.
    pub(super) fn of(admitted: &Admitted) -> Self {
        Self {
            is_stream: admitted.route.kind.is_stream(),
            supports_chunks: admitted.supports_chunks(),
        }
    }

    /// Sends a request and takes the answer.
    pub(super) async fn fetch<E: HeadCodec, S: PeerClient>(
        self,
        context: &Context<E, S>,
        call: Call,
        pick: &Pick,
    ) -> Result<EndpointAnswer, Failure> {
        let (limit, started) = (call.time_limit(), Instant::now());
        let answer = call.send(context, pick).await?;
        let (head, body) = answer.into_parts();
        let length = hyper::body::Body::size_hint(&body).exact();
        let is_buffered = match length {
            Some(length) => length <= BUFFERED_MAX_BYTES,
            // Buffered in full, as this caller could not tell that the rest is missing.
            None => !self.supports_chunks,
        };
        if self.is_stream || !is_buffered {
            let length = length.filter(|_| !self.is_stream);
            return Ok(EndpointAnswer::Streamed(head, body, length));
        }
        let left = limit.saturating_sub(started.elapsed());
        let collected = collect(body, BUFFERED_MAX_BYTES as usize, left).await;
        let carrier = head.extensions.get().copied();
        let bytes = collected.map_err(|failure| failure.with_carrier(carrier))?;
        Ok(EndpointAnswer::Buffered(head, bytes))
    }
}

/// `EndpointAnswer` holds the head of an endpoint's answer and its body, complete or still arriving.
pub(super) enum EndpointAnswer {
    /// The complete body.
    Buffered(Parts, Bytes),
    /// A body to relay, and its length if known.
    Streamed(Parts, Answer, Option<u64>),
}

impl EndpointAnswer {
    /// Returns the status.
    pub(super) fn status(&self) -> StatusCode {
        self.head().status
    }

    /// Returns the connection that carried it, if that is known.
    pub(super) fn carrier(&self) -> Option<Carrier> {
        self.head().extensions.get().copied()
    }

    fn head(&self) -> &Parts {
        match self {
            Self::Buffered(head, _) | Self::Streamed(head, ..) => head,
        }
    }
}
