//! Traits for calling peers and for serving their calls.

use std::future::Future;

use bytes::Bytes;
use quetzalpick_client::errors::Result as CallResult;
use quetzalpick_core::id::Member;
use tokio_util::sync::CancellationToken;

use crate::errors::Result;

/// `Application` answers calls from the application of another process, such as a gate or keeper.
pub trait Application: Clone + Send + Sync + 'static {
    /// Answers a call from a peer's application; `None` if the path is unknown or the call cannot be answered.
    fn call(
        &self,
        from: &Member,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = Option<Bytes>> + Send;
}

/// `Service` answers every call that reaches the peer listener.
pub trait Service: Clone + Send + Sync + 'static {
    /// Answers a call; `None` if the path is unknown or the body cannot be decoded.
    fn answer(&self, path: &str, body: Bytes) -> impl Future<Output = Option<Bytes>> + Send;
}

/// `Transport` sends calls to peers and receives theirs; tests use an implementation without sockets.
pub trait Transport: Clone + Send + Sync + 'static {
    /// `Listener` receives the calls to one address; `bind` opens it and `serve` answers them.
    type Listener: Send + 'static;

    /// Calls a path on the peer that listens at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the call with its verdict.
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

    /// Serves the calls that reach a listener until the token is cancelled.
    fn serve(
        &self,
        listener: Self::Listener,
        service: impl Service,
        stop: CancellationToken,
    ) -> impl Future<Output = ()> + Send;
}
