//! How a process calls its peers and answers them.

use std::future::Future;

use bytes::Bytes;
use quetzalpick_client::errors::Result as CallResult;
use quetzalpick_core::id::Member;
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
    /// `Listener` is an open listener.
    type Listener: Send + 'static;

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

    /// Opens a listener and returns it with its address.
    ///
    /// # Errors
    ///
    /// `Error::Bind` if the listener cannot be opened.
    fn bind(&self, address: &str) -> impl Future<Output = Result<(Self::Listener, String)>> + Send;

    /// Answers the calls that reach a listener until the token is cancelled.
    fn serve(
        &self,
        listener: Self::Listener,
        service: impl Service,
        stop: CancellationToken,
    ) -> impl Future<Output = ()> + Send;
}
