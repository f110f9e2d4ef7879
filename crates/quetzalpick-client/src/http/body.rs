//! The body of an answer, which holds the connection until it has been read to its end.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use quetzalpick_core::verdict::Verdict;
use tokio::time::{Instant, Sleep};

use super::Timeouts;
use super::connection::Connection;
use super::pool::Home;
use crate::errors::{Error, Result, malformed, unanswered};

/// `Body` is the body of an answer.
///
/// When it is dropped after it was read to its end, its connection serves further requests. In every other case the
/// connection is closed, so that what remains of this answer can never be taken for another one.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    connection: Option<Connection>,
    home: Home,
    timeouts: Timeouts,
    silence: Pin<Box<Sleep>>,
    ended: bool,
}

impl Body {
    /// Guards the body of an answer that came over `connection`.
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        home: Home,
        timeouts: Timeouts,
    ) -> Self {
        Self {
            incoming,
            connection: Some(connection),
            home,
            timeouts,
            silence: Box::pin(tokio::time::sleep(timeouts.part)),
            ended: false,
        }
    }

    /// Closes the connection, also if the body has been read to its end.
    pub fn discard(mut self) {
        self.connection = None;
    }

    /// Reads the body to its end, at most `max` bytes, and leaves it to the caller to drop or to discard it.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the body is longer, `Error::Unanswered` if it breaks off.
    pub async fn collect_up_to(&mut self, max: usize) -> Result<Bytes> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = self.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > max {
                self.connection = None;
                let reason = format!("the answer is longer than {max} bytes");
                return Err(malformed(self.home.address(), reason));
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }

    /// Closes the connection and makes the error of an answer that broke off.
    fn break_off(&mut self, reason: impl ToString) -> Error {
        self.connection = None;
        unanswered(self.home.address(), Verdict::MayHaveRun, reason)
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let this = &mut *self;
        if this.connection.is_none() {
            return Poll::Ready(None);
        }
        let Poll::Ready(frame) = Pin::new(&mut this.incoming).poll_frame(cx) else {
            // A peer that falls silent is given up.
            ready!(this.silence.as_mut().poll(cx));
            let reason = "the answer broke off: no part in time";
            return Poll::Ready(Some(Err(this.break_off(reason))));
        };
        let next = Instant::now() + this.timeouts.part;
        this.silence.as_mut().reset(next);
        match frame {
            Some(Err(error)) => {
                let reason = format!("the answer broke off: {error}");
                Poll::Ready(Some(Err(this.break_off(reason))))
            }
            frame => {
                // A reader may stop asking once the body says that it has ended.
                this.ended = frame.is_none() || this.incoming.is_end_stream();
                Poll::Ready(frame.map(|f| Ok(f.expect("errors were matched above"))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take()
            && self.ended
        {
            self.home.keep(connection);
        }
    }
}
