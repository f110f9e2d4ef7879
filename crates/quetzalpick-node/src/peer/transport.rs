//! How a process calls its peers and answers them.

use std::future::Future;

use bytes::Bytes;
use quetzalpick_core::id::Member;
use quetzalpick_platform::errors::Result as CallResult;
use tokio_util::sync::CancellationToken;

use crate::errors::Result;

/// `Application` answers the calls that the peers' applications make.
pub trait Application: Clone + Send + Sync + 'static {
    /// Answers a call of a peer's application; `None` if the path is unknown or the call cannot be answered.
    fn call(
        &self,
        from: &Member,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = Option<Bytes>> + Send;
}

/// `Service` answers all calls that reach the peer listener.
pub trait Service: Clone + Send + Sync + 'static {
    /// Answers a call; `None` if the path is unknown or the body is not understood.
    fn answer(&self, path: &str, body: Bytes) -> impl Future<Output = Option<Bytes>> + Send;
}

/// `Transport` carries calls between peers; tests use one without sockets.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Calls a path of the peer that listens at an address.
    ///
    /// # Errors
    ///
    /// Whatever the call meets, with its verdict.
    fn call(
        &self,
        address: &str,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = CallResult<Bytes>> + Send;

    /// Answers calls until the token is cancelled.
    ///
    /// # Errors
    ///
    /// `Error::Bind` if the listener cannot be opened.
    fn serve(
        &self,
        address: &str,
        service: impl Service,
        stop: CancellationToken,
    ) -> impl Future<Output = Result<()>> + Send;
}

/// `Http` carries calls over HTTP, authenticated by a secret that all processes share.
#[derive(Debug, Clone)]
pub struct Http {
    secret: String,
}

impl Http {
    /// Makes a transport with the shared secret.
    pub fn new(secret: impl Into<String>) -> Self {
        Self {
            secret: secret.into(),
        }
    }
}

impl Transport for Http {
    async fn call(&self, address: &str, path: &str, body: Bytes) -> CallResult<Bytes> {
        let _ = (address, path, body, &self.secret);
        todo!()
    }

    async fn serve(
        &self,
        address: &str,
        service: impl Service,
        stop: CancellationToken,
    ) -> Result<()> {
        let _ = (address, service, stop);
        todo!()
    }
}
