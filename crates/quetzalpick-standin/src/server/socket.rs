//! TCP stream that fails after a number of written bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Value that disables the limit.
const UNLIMITED: u64 = u64::MAX;

/// `WriteLimit` holds the number of bytes that a connection may still send; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct WriteLimit(Arc<AtomicU64>);

impl Default for WriteLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(UNLIMITED)))
    }
}

impl WriteLimit {
    /// Allows `bytes` more bytes.
    pub(crate) fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::SeqCst);
    }
}

/// `Socket` wraps a TCP stream and fails its writes once the limit is used up.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    limit: WriteLimit,
}

impl Socket {
    /// Creates a socket with a shared limit.
    pub(crate) fn new(stream: TcpStream, limit: WriteLimit) -> Self {
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
        let remaining = self.limit.0.load(Ordering::SeqCst);
        if remaining == UNLIMITED {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        }
        if remaining == 0 {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let allowed = buf
            .len()
            .min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let written = Pin::new(&mut self.stream).poll_write(cx, &buf[..allowed]);
        if let Poll::Ready(Ok(count)) = written {
            self.limit.set(remaining - count as u64);
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
