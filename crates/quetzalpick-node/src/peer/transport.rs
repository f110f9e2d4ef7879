//! Traits for calling peers and for serving their calls.

use std::future::{Future, ready};

use bytes::Bytes;
use quetzalpick_client::errors::{Error, Result as CallResult, unanswered};
use quetzalpick_client::http::{Request, Response, Timeouts};
use quetzalpick_core::id::Member;
use quetzalpick_core::verdict::Verdict;
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

    /// Sends a peer's request to an endpoint, given by its name; a service that does not forward leaves this as it is.
    ///
    /// # Errors
    ///
    /// Returns the error of the call with its verdict; `Error::Busy` if this process reaches no endpoints either.
    fn forward(
        &self,
        endpoint: &str,
        request: Request,
    ) -> impl Future<Output = CallResult<Response>> + Send {
        drop(request);
        ready(Err(not_supported(endpoint)))
    }
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

    /// Sends a request to an endpoint, given by its name, through the peer that listens at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the call with its verdict; `Error::Busy` if this peer cannot be used now.
    fn forward(
        &self,
        address: &str,
        endpoint: &str,
        request: Request,
        timeouts: Timeouts,
    ) -> impl Future<Output = CallResult<Response>> + Send {
        drop((request, timeouts));
        ready(Err(not_supported(&format!("{address}, {endpoint}"))))
    }

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

/// Builds the error of a process that does not forward requests.
fn not_supported(target: &str) -> Error {
    unanswered(target, Verdict::NotRun, "requests are not forwarded")
}
