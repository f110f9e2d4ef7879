//! How requests and answers look on the wire, towards callers and towards endpoints.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, StatusCode, request};
use quetzalpick_core::id::{Endpoint, Workspace};

use crate::config::Config;
use crate::errors::Result;
use crate::fleet::Spec;
use crate::metadata::Metadata;

/// `Forwarding` is what an endpoint is told beside the caller's own request.
#[derive(Debug, Clone, Copy)]
pub struct Forwarding<'a> {
    /// Start of the endpoint that is meant; any other refuses.
    pub endpoint: &'a Endpoint,
    /// Workspace that the request is charged to; `None` on open routes.
    pub workspace: Option<&'a Workspace>,
    /// Time left for the answer, in ms; `None` if the caller gave none.
    pub left_ms: Option<u64>,
    /// Rank among the endpoint's requests, 0 is first; `None` leaves it to the endpoint.
    pub urgency: Option<u8>,
    /// Id of the last event that the caller has got, if a stream goes on elsewhere.
    pub last_event_id: Option<u64>,
}

/// `Proof` is what the head of an answer proves about the request it came for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// It is the endpoint's answer to this request.
    Answer,
    /// The endpoint did not run the request and will not.
    NotRun {
        /// Whether another start has the address, or it lacks the model: it need not be asked again.
        misdirected: bool,
    },
    /// It is no answer to this request, which may have run.
    Mismatched,
}

/// `HeadCodec` reads and writes heads on both sides.
pub trait HeadCodec: Clone + Debug + Send + Sync + 'static {
    /// Reads what a caller asks for.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if a field cannot be read.
    fn metadata(&self, head: &request::Parts) -> Result<Metadata>;

    /// Makes the headers that an endpoint gets from those of the caller; the caller's key is not among them.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if a field cannot be written.
    fn forward_headers(&self, headers: &HeaderMap, forwarding: Forwarding<'_>)
    -> Result<HeaderMap>;

    /// Tells what the head of an endpoint's answer proves about the request of an attempt.
    fn proof(&self, status: StatusCode, headers: &HeaderMap, attempt: Option<&str>) -> Proof;

    /// Adds to the headers of an own answer which attempt it is for, and when to come back.
    fn add_answer_headers(
        &self,
        headers: &mut HeaderMap,
        attempt: Option<&str>,
        retry_after: Option<Duration>,
    );
}

/// `RecordCodec` reads the records that operators and endpoints write.
pub trait RecordCodec: Clone + Debug + Send + Sync + 'static {
    /// Key of the record that holds the configuration.
    fn config_key(&self) -> &str;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if it cannot be read.
    fn config(&self, value: &Bytes) -> Result<Config>;

    /// Reads what an endpoint says of itself.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if it cannot be read.
    fn endpoint(&self, value: &Bytes) -> Result<Spec>;
}

/// Removes the headers that concern one connection only.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
    let values = headers.get_all(CONNECTION).iter();
    let named: Vec<HeaderName> = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let fixed = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in fixed.iter().chain(&named) {
        headers.remove(name);
    }
}
