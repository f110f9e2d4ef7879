//! Answer bodies, which return their connection to the pool once they were read to the end.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use quetzalpick_core::verdict::Verdict;
use tokio::time::{Instant, Sleep, timeout_at};

use super::Timeouts;
use super::buffer::Buffer;
use super::connection::Connection;
use super::pool::{PoolHandle, Reuse};
use crate::errors::{Error, Result, malformed, memory_short, unanswered};

/// `Body` streams the body of an answer and owns the connection that carries it.
///
/// Dropped after it was read to its end, it returns the connection to the pool. In every other case the connection is
/// closed, so that the rest of this answer is never read as the answer to another request.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    connection: Option<Connection>,
    pool: PoolHandle,
    timeouts: Timeouts,
    idle_timer: Pin<Box<Sleep>>,
    ended: bool,
    /// Whether the connection is to be used again after all others.
    reuse: Reuse,
}

impl Body {
    /// Creates the body of an answer that arrives over `connection`.
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        pool: PoolHandle,
        timeouts: Timeouts,
    ) -> Self {
        Self {
            incoming,
            connection: Some(connection),
            pool,
            timeouts,
            idle_timer: Box::pin(tokio::time::sleep(timeouts.body_idle)),
            ended: false,
            reuse: Reuse::First,
        }
    }

    /// Closes the connection, even if the body was read to its end.
    pub fn discard(mut self) {
        self.connection = None;
    }

    /// Lets the connection be used again after all other idle ones: what else it brings, as a copy of this answer, closes it while it is
    /// idle.
    pub fn reuse_last(&mut self) {
        self.reuse = Reuse::Last;
    }

    /// Reads the body to its end, up to `max_bytes` bytes; the caller then drops or discards it. What is longer than a few KB needs memory
    /// of the pool, if it has one, and keeps it until the last reference to the bytes is dropped.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the body is longer, `Error::Unanswered` if it is cut short, and `Error::MemoryShort`.
    pub async fn collect_up_to(&mut self, max_bytes: usize) -> Result<Bytes> {
        let mut buffer = self.buffer(max_bytes)?;
        while self.collect_frame(&mut buffer, max_bytes).await? {}
        self.finish(buffer)
    }

    /// Reads the body to its end, up to `max_bytes` bytes, within `limit` and the time that what has arrived takes at
    /// `min_bytes_per_s`. A long body on a slow link is read to its end as long as it makes progress, and one that trickles in is not.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the body is longer, `Error::Unanswered` if it is cut short or takes longer, and `Error::MemoryShort`.
    pub async fn collect_at(
        &mut self,
        min_bytes_per_s: u32,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Bytes> {
        let started = Instant::now();
        let mut buffer = self.buffer(max_bytes)?;
        loop {
            let allowed = buffer.len() as f64 / f64::from(min_bytes_per_s);
            let deadline = started + limit + Duration::from_secs_f64(allowed);
            let collected = timeout_at(deadline, self.collect_frame(&mut buffer, max_bytes)).await;
            match collected {
                Ok(Ok(true)) => {}
                Ok(Ok(false)) => return self.finish(buffer),
                Ok(Err(error)) => return Err(error),
                Err(_) => {
                    let (received, took_ms) = (buffer.len(), started.elapsed().as_millis());
                    let reason =
                        format!("{received} bytes of the answer arrived within {took_ms} ms");
                    return Err(self.abort(reason));
                }
            }
        }
    }

    /// Creates the buffer for the body, unless it is announced as longer.
    fn buffer(&mut self, max_bytes: usize) -> Result<Buffer> {
        let announced = self.incoming.size_hint().exact();
        let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if announced.is_some_and(|announced| announced > max_bytes) {
            return Err(self.too_long(max_bytes));
        }
        let memory = self.pool.memory().cloned();
        Ok(Buffer::new(memory, announced, max_bytes))
    }

    /// Adds the data of the next frame; returns false at the end of the body.
    async fn collect_frame(&mut self, buffer: &mut Buffer, max_bytes: usize) -> Result<bool> {
        let frame = tokio::select! {
            biased;
            () = buffer.lost() => return Err(self.give_up(buffer.len())),
            frame = self.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(false);
        };
        let Ok(data) = frame?.into_data() else {
            return Ok(true);
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(self.too_long(max_bytes));
        }
        match buffer.extend(&data) {
            Some(()) => Ok(true),
            None => Err(self.give_up(buffer.len())),
        }
    }

    /// Returns the complete body, unless its memory was given to others.
    fn finish(&mut self, buffer: Buffer) -> Result<Bytes> {
        let received = buffer.len();
        buffer.finish().ok_or_else(|| self.give_up(received))
    }

    /// Closes the connection and builds the error of an answer that is too long.
    fn too_long(&mut self, max_bytes: usize) -> Error {
        self.connection = None;
        let reason = format!("the answer is longer than {max_bytes} bytes");
        malformed(self.pool.address(), reason)
    }

    /// Closes the connection and builds the error of an answer for which there is no memory.
    fn give_up(&mut self, received: usize) -> Error {
        self.connection = None;
        memory_short(self.pool.address(), received)
    }

    /// Closes the connection and builds the error of an answer that was cut short.
    fn abort(&mut self, reason: impl ToString) -> Error {
        self.connection = None;
        unanswered(self.pool.address(), Verdict::MayHaveRun, reason)
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
            // No data arrived within the timeout, so the connection is given up.
            ready!(this.idle_timer.as_mut().poll(cx));
            let reason = "the answer broke off: timed out waiting for data";
            return Poll::Ready(Some(Err(this.abort(reason))));
        };
        let deadline = Instant::now() + this.timeouts.body_idle;
        this.idle_timer.as_mut().reset(deadline);
        match frame {
            Some(Err(error)) => {
                let reason = format!("the answer broke off: {error}");
                Poll::Ready(Some(Err(this.abort(reason))))
            }
            frame => {
                // A reader may stop polling as soon as `is_end_stream` returns true.
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
            self.pool.put_back(connection, self.reuse);
        }
    }
}
