//! A single HTTP/1 connection to an external system.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::Options;

/// `Connection` sends requests over one TCP connection and closes it when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Sends requests, one at a time.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Connection {
    /// Connects to an address and starts the task that drives the connection.
    pub(crate) async fn try_connect(address: SocketAddr, options: &Options) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(options.head_max_bytes)
            .max_headers(options.headers_max)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // The sender and the body report errors of the connection, so the task's result is not needed.
        let driver = tokio::spawn(async move { drop(driver.await) }).abort_handle();
        Ok(Self { sender, driver })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
