//! Errors that occur when a stand-in starts.

use std::net::SocketAddr;

use quetzalpick_client::wire::engine::Order;
use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` describes why a stand-in could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Error reported by the operating system.
        source: std::io::Error,
    },
    /// The engine refused to preload a copy.
    #[snafu(display("cannot preload {artifact}: {refusal}"))]
    Preload {
        /// Name of the model or adapter.
        artifact: String,
        /// Reason for the refusal.
        refusal: String,
    },
    /// The runtime could not be started, or standard output is closed.
    #[snafu(display("cannot {operation}: {source}"))]
    Process {
        /// Operation that failed.
        operation: &'static str,
        /// Error reported by the operating system.
        source: std::io::Error,
    },
}

/// Builds the error for a copy that cannot be preloaded.
pub(crate) fn preload_error(order: &Order, refusal: impl ToString) -> Error {
    Error::Preload {
        artifact: order.copy.artifact.clone(),
        refusal: refusal.to_string(),
    }
}
