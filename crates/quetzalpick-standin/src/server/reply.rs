//! Answers of a stand-in.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use serde::Serialize;

/// `Broken` ends the body of an answer without its end.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("broken off on purpose"))]
pub(crate) struct Broken;

/// `Body` is a whole body or one that is sent in parts.
pub(crate) type Body = Either<Full<Bytes>, Parts>;

/// `Parts` is a body that is sent in parts and may break off after any of them.
#[derive(Debug)]
pub(crate) struct Parts {
    channel: Channel<Bytes, Broken>,
    broken: Option<Broken>,
}

impl hyper::body::Body for Parts {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if let Some(broken) = self.broken.take() {
            return Poll::Ready(Some(Err(broken)));
        }
        match Pin::new(&mut self.channel).poll_frame(cx) {
            // The parts before it are still in the server's buffer, which is written out while a body is pending.
            Poll::Ready(Some(Err(broken))) => {
                self.broken = Some(broken);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }
}

/// `Sender` sends a body in parts.
pub(crate) type Sender = http_body_util::channel::Sender<Bytes, Broken>;

/// `Reply` is what becomes of a call.
pub(crate) enum Reply {
    /// The call is answered.
    Answer(Box<Response<Body>>),
    /// The connection is closed without an answer.
    Close,
}

impl Reply {
    /// Adds a header, if its value is one.
    pub(crate) fn with_header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Self::Answer(response) = &mut self
            && let Ok(value) = value.as_ref().parse()
        {
            response.headers_mut().insert(name, value);
        }
        self
    }
}

/// Makes an answer with a body of one media type.
fn whole(status: StatusCode, media_type: &'static str, body: Vec<u8>) -> Reply {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(body))));
    *response.status_mut() = status;
    Reply::Answer(Box::new(response)).with_header(CONTENT_TYPE.as_str(), media_type)
}

/// Makes an answer whose body is sent in parts, and returns what sends them.
pub(crate) fn parts(media_type: &'static str, buffer: usize) -> (Sender, Reply) {
    let (sender, channel) = Channel::new(buffer);
    let broken = None;
    let body = Either::Right(Parts { channel, broken });
    let reply = Reply::Answer(Box::new(Response::new(body)));
    let reply = reply.with_header(CONTENT_TYPE.as_str(), media_type);
    (sender, reply)
}

/// Makes an answer in JSON.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => whole(status, "application/json", body),
        Err(_) => Reply::Close,
    }
}

/// Makes an answer in MessagePack.
pub(crate) fn message_pack(status: StatusCode, body: &impl Serialize) -> Reply {
    match rmp_serde::to_vec_named(body) {
        Ok(body) => whole(status, "application/msgpack", body),
        Err(_) => Reply::Close,
    }
}

/// `Problem` is the body of an error.
#[derive(Serialize)]
struct Problem<'a> {
    error: Detail<'a>,
}

/// `Detail` says what is wrong.
#[derive(Serialize)]
struct Detail<'a> {
    r#type: &'a str,
    message: &'a str,
}

/// Makes an error in JSON.
pub(crate) fn error(status: StatusCode, kind: &str, message: impl AsRef<str>) -> Reply {
    let message = message.as_ref();
    let error = Detail {
        r#type: kind,
        message,
    };
    json(status, &Problem { error })
}

/// Makes the answer to a request that makes no sense.
pub(crate) fn invalid(message: impl AsRef<str>) -> Reply {
    error(StatusCode::BAD_REQUEST, "invalid_request_error", message)
}

/// Makes the answer to a call of the administration that changes something.
pub(crate) fn confirm(result: Result<(), Reply>) -> Reply {
    match result {
        Ok(()) => json(StatusCode::OK, &serde_json::json!({"done": true})),
        Err(reply) => reply,
    }
}
