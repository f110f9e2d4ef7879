//! Wire formats of requests and answers, for callers and for endpoints.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, StatusCode, request};
use quetzalpick_client::http::Arrival;
use quetzalpick_core::id::{Domain, Endpoint, Workspace};
use quetzalpick_core::limit::Rate;
use quetzalpick_core::room::Tolerance;

use crate::config::Config;
use crate::errors::Result;
use crate::fleet::Spec;
use crate::metadata::Metadata;

/// `Forwarding` holds what is sent to an endpoint in addition to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct Forwarding<'a> {
    /// Incarnation of the endpoint that is addressed; any other refuses the request.
    pub endpoint: &'a Endpoint,
    /// Workspace that the request is charged to; `None` on open routes.
    pub workspace: Option<&'a Workspace>,
    /// Time left for the answer, in ms; `None` if there is no deadline.
    pub left_ms: Option<u64>,
    /// Priority at the endpoint, 0 is highest; `None` leaves it to the endpoint.
    pub priority: Option<u8>,
    /// Id of the last event that the caller has received, if a stream is resumed.
    pub last_event_id: Option<u64>,
}

/// `Proof` classifies what the head of an answer proves about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// The endpoint answered this request.
    Answer,
    /// The endpoint did not run the request and will not.
    NotRun {
        /// Whether another incarnation has the address or the endpoint lacks the model; a retry there is pointless.
        misdirected: bool,
    },
    /// The answer does not belong to this request, which may have run.
    Mismatched,
}

/// `HeadCodec` decodes and encodes request and answer heads, for callers and for endpoints.
pub trait HeadCodec: Clone + Debug + Send + Sync + 'static {
    /// Decodes the metadata of a caller's request.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if a field cannot be decoded.
    fn metadata(&self, head: &request::Parts) -> Result<Metadata>;

    /// Decodes the id of an attempt of a caller; endpoints repeat it in their answers.
    fn attempt_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Derives the headers sent to an endpoint from the caller's headers, without the caller's key.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if a field cannot be encoded.
    fn forward_headers(&self, headers: &HeaderMap, forwarding: Forwarding<'_>)
    -> Result<HeaderMap>;

    /// Classifies the head of an endpoint's answer to the request with the given attempt id.
    fn proof(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt_id: Option<&str>,
        arrival: Arrival,
    ) -> Proof;

    /// Decodes the limit that an endpoint names in the head of an answer: the requests a second that it takes from all VMs
    /// together; `None` if it names none.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the limit cannot be decoded.
    fn limit(&self, headers: &HeaderMap) -> Result<Option<Rate>>;

    /// Decodes how many requests an endpoint can decline in a second before it falls over; `None` if it does not say that it may.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the number cannot be decoded.
    fn tolerance(&self, headers: &HeaderMap) -> Result<Option<Tolerance>>;

    /// Decodes for how much longer an endpoint is cold, in ms; `None` if the head of its answer does not say.
    fn cold_ms(&self, headers: &HeaderMap) -> Option<u64>;

    /// Returns whether an endpoint says in the head of an answer that it leaves.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Decodes for how long an endpoint wants no further requests from this VM, whatever became of the one that it answers; `None` if
    /// it does not say.
    fn pause(&self, status: StatusCode, headers: &HeaderMap) -> Option<Duration>;

    /// Adds the attempt id and the retry delay to the headers of an answer that this VM generates.
    fn add_answer_headers(
        &self,
        headers: &mut HeaderMap,
        attempt_id: Option<&str>,
        retry_after: Option<Duration>,
    );
}

/// `RecordCodec` decodes the records that operators and endpoints write.
pub trait RecordCodec: Clone + Debug + Send + Sync + 'static {
    /// Returns the key of the record that holds the configuration.
    fn config_key(&self) -> &str;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if it cannot be decoded.
    fn config(&self, value: &Bytes) -> Result<Config>;

    /// Decodes the failure domain that a record in the topic of the configuration evacuates, whatever the record's value; `None` if its
    /// key is that of another record.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the key names no failure domain.
    fn evacuated_domain(&self, key: &str) -> Result<Option<Domain>>;

    /// Decodes an endpoint's description of itself.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if it cannot be decoded.
    fn endpoint(&self, value: &Bytes) -> Result<Spec>;
}

/// Removes hop-by-hop headers, including those named in `Connection`.
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
