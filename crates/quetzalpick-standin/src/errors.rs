//! Errors of starting a stand-in.

use std::net::SocketAddr;

use quetzalpick_client::wire::engine::Order;
use snafu::Snafu;

/// `Result` is the result of the crate's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says why a stand-in could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address asked for.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A copy to be loaded at the start was refused.
    #[snafu(display("cannot preload {artifact}: {refusal}"))]
    Preload {
        /// Model or adapter.
        artifact: String,
        /// Why it was refused.
        refusal: String,
    },
    /// The runtime could not be started, or standard output is closed.
    #[snafu(display("cannot {what}: {source}"))]
    Process {
        /// What was tried.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
}

/// Builds the error of a copy that cannot be loaded at the start.
pub(crate) fn preload_error(order: &Order, refusal: impl ToString) -> Error {
    Error::Preload {
        artifact: order.copy.artifact.clone(),
        refusal: refusal.to_string(),
    }
}
