//! A single HTTP/1 connection to an external system.

use std::io;
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use super::{Carrier, Options};

/// `Connection` sends requests over one TCP connection and closes it when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Sends requests, one at a time.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// The answer that came last, or its number 0.
    pub(crate) carrier: Carrier,
    driver: AbortHandle,
}

impl Connection {
    /// Connects to an address, from a source address if one is given, and starts the task that drives the connection, which gets a
    /// number.
    pub(crate) async fn try_connect(
        number: u64,
        address: SocketAddr,
        source: Option<IpAddr>,
        options: &Options,
    ) -> io::Result<Self> {
        let stream = match source {
            Some(source) => connect_from(source, address).await?,
            None => TcpStream::connect(address).await?,
        };
        stream.set_nodelay(true)?;
        // A request that is given up must not arrive later, once a link that held it up is restored.
        stream.set_zero_linger()?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(options.head_max_bytes)
            .max_headers(options.headers_max)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // The sender and the body report errors of the connection, so the task's result is not needed.
        let driver = tokio::spawn(async move { drop(driver.await) }).abort_handle();
        let carrier = Carrier {
            connection: number,
            answer: 0,
        };
        Ok(Self {
            sender,
            carrier,
            driver,
        })
    }
}

/// Connects to an address from a source address.
async fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
