//! Errors of starting a stand-in.

use std::net::SocketAddr;

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
    /// The runtime could not be started, or standard output is closed.
    #[snafu(display("cannot {what}: {source}"))]
    Process {
        /// What was tried.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
}
