//! One connection to an outside system.

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

/// `Connection` is the sending end of a connection; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Takes requests, one at a time.
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
        // Failures of the connection reach its user through the sender and the body.
        let driver = tokio::spawn(async move { drop(driver.await) }).abort_handle();
        Ok(Self { sender, driver })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
