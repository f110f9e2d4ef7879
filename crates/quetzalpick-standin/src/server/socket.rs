//! TCP stream that fails after a number of written bytes, or writes an answer once more.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// `Outlet` controls what a connection sends; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outlet(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Number of bytes that may still be sent; `None` if there is no limit.
    remaining: Option<u64>,
    /// The present answer so far, if it is to be written once more.
    recorded: Option<Vec<u8>>,
    /// What is written before the next bytes.
    copy: Vec<u8>,
}

impl Outlet {
    /// Allows `bytes` more bytes.
    pub(crate) fn limit(&self, bytes: u64) {
        self.lock().remaining = Some(bytes);
    }

    /// Begins an answer. If the one before is to be written once more, it is written first.
    pub(super) fn begin_answer(&self) {
        let mut state = self.lock();
        if let Some(recorded) = state.recorded.take() {
            state.copy = recorded;
        }
    }

    /// Lets the present answer be written once more before the next one.
    pub(super) fn repeat_answer(&self) {
        self.lock().recorded = Some(Vec::new());
    }

    /// Locks the state; a poisoned lock is usable because each change leaves it consistent.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Socket` wraps a TCP stream and lets an outlet control its writes.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    outlet: Outlet,
}

impl Socket {
    /// Creates a socket with a shared outlet.
    pub(crate) fn new(stream: TcpStream, outlet: Outlet) -> Self {
        Self { stream, outlet }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, outlet } = self.get_mut();
        let mut state = outlet.lock();
        while !state.copy.is_empty() {
            let count = ready!(Pin::new(&mut *stream).poll_write(cx, &state.copy))?;
            state.copy.drain(..count);
        }
        let remaining = state.remaining.unwrap_or(u64::MAX);
        if remaining == 0 {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let allowed = buf
            .len()
            .min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let count = ready!(Pin::new(stream).poll_write(cx, &buf[..allowed]))?;
        state.remaining = state.remaining.map(|remaining| remaining - count as u64);
        if let Some(recorded) = &mut state.recorded {
            recorded.extend_from_slice(&buf[..count]);
        }
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
