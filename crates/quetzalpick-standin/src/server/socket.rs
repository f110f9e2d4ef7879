//! A TCP stream that can be closed after a number of bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Value of a limit that lets all bytes pass.
const UNLIMITED: u64 = u64::MAX;

/// `Limit` is the number of bytes that a connection may still send.
#[derive(Debug, Clone)]
pub(crate) struct Limit(Arc<AtomicU64>);

impl Default for Limit {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(UNLIMITED)))
    }
}

impl Limit {
    /// Lets `bytes` more bytes pass.
    pub(crate) fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::SeqCst);
    }
}

/// `Socket` is a TCP stream whose writes fail once the limit is used up.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    limit: Limit,
}

impl Socket {
    /// Wraps a stream.
    pub(crate) fn new(stream: TcpStream, limit: Limit) -> Self {
        Self { stream, limit }
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.limit.0.load(Ordering::SeqCst);
        if left == UNLIMITED {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        }
        if left == 0 {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let part = buf.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let written = Pin::new(&mut self.stream).poll_write(cx, &buf[..part]);
        if let Poll::Ready(Ok(count)) = written {
            self.limit.set(left - count as u64);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
