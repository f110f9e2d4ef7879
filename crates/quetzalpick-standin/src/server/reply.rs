//! Answers of a stand-in, with complete or streamed bodies.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use serde::Serialize;

/// `BodyAborted` makes the server close a connection before an answer is complete.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("body aborted"))]
pub(crate) struct BodyAborted;

/// `Body` holds either a complete body or a streamed one.
pub(crate) type Body = Either<Full<Bytes>, StreamedBody>;

/// `StreamedBody` receives the chunks of a body from a channel and can be aborted after any of them.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    channel: Channel<Bytes, BodyAborted>,
    pending_error: Option<BodyAborted>,
}

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if let Some(error) = self.pending_error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut self.channel).poll_frame(cx) {
            // Earlier chunks are still in the server's buffer, which is flushed while the body is pending. The error
            // is therefore returned by the next poll.
            Poll::Ready(Some(Err(error))) => {
                self.pending_error = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }
}

/// `Sender` sends the chunks of a streamed body.
pub(crate) type Sender = http_body_util::channel::Sender<Bytes, BodyAborted>;

/// `Reply` decides how a call ends.
pub(crate) enum Reply {
    /// The call is answered.
    Answer(Box<Response<Body>>),
    /// The connection is closed without an answer.
    Close,
}

impl Reply {
    /// Sets a header; ignored if the value is not a valid header value.
    pub(crate) fn with_header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Self::Answer(response) = &mut self
            && let Ok(value) = value.as_ref().parse()
        {
            response.headers_mut().insert(name, value);
        }
        self
    }
}

/// Builds an answer with a complete body.
fn full(status: StatusCode, media_type: &'static str, body: Vec<u8>) -> Reply {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(body))));
    *response.status_mut() = status;
    Reply::Answer(Box::new(response)).with_header(CONTENT_TYPE.as_str(), media_type)
}

/// Builds an answer with a streamed body and returns it with the sender of its chunks; `buffer` chunks are queued.
pub(crate) fn streamed(media_type: &'static str, buffer: usize) -> (Sender, Reply) {
    let (sender, channel) = Channel::new(buffer);
    let body = Either::Right(StreamedBody {
        channel,
        pending_error: None,
    });
    let reply = Reply::Answer(Box::new(Response::new(body)));
    let reply = reply.with_header(CONTENT_TYPE.as_str(), media_type);
    (sender, reply)
}

/// Builds a JSON answer.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => full(status, "application/json", body),
        Err(_) => Reply::Close,
    }
}

/// Builds a MessagePack answer.
pub(crate) fn message_pack(status: StatusCode, body: &impl Serialize) -> Reply {
    match rmp_serde::to_vec_named(body) {
        Ok(body) => full(status, "application/msgpack", body),
        Err(_) => Reply::Close,
    }
}

/// `ErrorBody` wraps the details of an error in the form of the completion API.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

/// `ErrorDetail` holds the error type and a message.
#[derive(Serialize)]
struct ErrorDetail<'a> {
    r#type: &'a str,
    message: &'a str,
}

/// Builds a JSON error answer.
pub(crate) fn error(status: StatusCode, kind: &str, message: impl AsRef<str>) -> Reply {
    let message = message.as_ref();
    let error = ErrorDetail {
        r#type: kind,
        message,
    };
    json(status, &ErrorBody { error })
}

/// Builds the answer to a malformed request.
pub(crate) fn invalid(message: impl AsRef<str>) -> Reply {
    error(StatusCode::BAD_REQUEST, "invalid_request_error", message)
}

/// Builds the answer to an admin call that changes something.
pub(crate) fn confirm(result: Result<(), Reply>) -> Reply {
    match result {
        Ok(()) => json(StatusCode::OK, &serde_json::json!({"done": true})),
        Err(reply) => reply,
    }
}
