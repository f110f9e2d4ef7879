//! Heads of requests and answers that one peer passes on for another one.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use quetzalpick_client::errors::{Error, Result as CallResult, unanswered};
use quetzalpick_client::http::{Carrier, Framing, Response};
use quetzalpick_core::verdict::Verdict;
use strum::{Display, EnumString};

/// Header that names the endpoint to which a request is to be passed on.
pub(crate) const ENDPOINT: HeaderName = HeaderName::from_static("x-quetzalpick-peer-endpoint");

/// Header of a request that must be passed on over a new connection.
pub(crate) const FRESH: HeaderName = HeaderName::from_static("x-quetzalpick-peer-fresh");

/// Header of an answer that is passed on, with the framing that the endpoint gave it.
const FRAMING: HeaderName = HeaderName::from_static("x-quetzalpick-peer-framing");

/// Header of an answer that is passed on, with the connection between the peer and the endpoint that carried it.
const CARRIER: HeaderName = HeaderName::from_static("x-quetzalpick-peer-carrier");

/// Header of an answer that tells why the request was not answered by the endpoint.
const FAILURE: HeaderName = HeaderName::from_static("x-quetzalpick-peer-failure");

/// Headers that concern the connection between the peer and the endpoint only.
const CONNECTION_HEADERS: [HeaderName; 3] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
];

/// Longest reason of a failure that is read, in bytes.
const REASON_MAX_BYTES: usize = 4_096;

/// `Failure` tells why a peer has no answer of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Failure {
    /// The peer reaches no endpoints either; nothing was sent.
    Busy,
    /// Nothing was sent.
    NotRun,
    /// The request was sent and may have run.
    MayHaveRun,
}

impl Failure {
    /// Classifies the error of a call to an endpoint.
    pub(crate) fn of(error: &Error) -> Self {
        match error {
            Error::Busy { .. } => Self::Busy,
            error if error.verdict() == Verdict::NotRun => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }

    /// Adds it to the headers of an answer.
    pub(crate) fn add_to(self, headers: &mut HeaderMap) {
        if let Ok(value) = HeaderValue::from_str(&self.to_string()) {
            headers.insert(FAILURE, value);
        }
    }
}

/// Removes what concerns only the connection on which a request was received.
pub(crate) fn strip_request(headers: &mut HeaderMap) {
    headers.remove(CONTENT_LENGTH);
    CONNECTION_HEADERS
        .iter()
        .for_each(|name| drop(headers.remove(name)));
}

/// Replaces what concerns the connection on which an answer was received by the name of its framing and the carrier.
pub(crate) fn mark_answer(framing: Framing, carrier: Option<Carrier>, headers: &mut HeaderMap) {
    CONNECTION_HEADERS
        .iter()
        .for_each(|name| drop(headers.remove(name)));
    headers.remove(FRAMING);
    headers.remove(CARRIER);
    let carrier = carrier.map(|carrier| carrier.to_string());
    let fields = [(FRAMING, Some(framing.to_string())), (CARRIER, carrier)];
    for (name, value) in fields {
        if let Some(Ok(value)) = value.as_deref().map(HeaderValue::from_str) {
            headers.insert(name, value);
        }
    }
}

/// Takes the answer of an endpoint from the answer of the peer at an address.
///
/// # Errors
///
/// The error that the peer reports, or `Error::Unanswered` if the answer is of another kind; the request may have run then.
pub(crate) async fn take_answer(address: &str, mut answer: Response) -> CallResult<Response> {
    let text = |name: &HeaderName, headers: &HeaderMap| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let framing = text(&FRAMING, answer.headers()).and_then(|text| text.parse::<Framing>().ok());
    if let Some(framing) = framing {
        // A peer of a former build does not name the carrier; that of the connection to the peer is another one.
        let carrier = text(&CARRIER, answer.headers()).and_then(|text| text.parse().ok());
        let headers = answer.headers_mut();
        headers.remove(FRAMING);
        headers.remove(CARRIER);
        let extensions = answer.extensions_mut();
        extensions.remove::<Carrier>();
        carrier.map(|carrier: Carrier| extensions.insert(carrier));
        extensions.insert(framing);
        return Ok(answer);
    }
    let failure = text(&FAILURE, answer.headers()).and_then(|text| text.parse().ok());
    let reason = answer
        .into_body()
        .collect_up_to(REASON_MAX_BYTES)
        .await
        .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
        .unwrap_or_else(|error| error.to_string());
    Err(match failure {
        Some(Failure::Busy) => busy(address),
        Some(Failure::NotRun) => unanswered(address, Verdict::NotRun, reason),
        Some(Failure::MayHaveRun) | None => unanswered(address, Verdict::MayHaveRun, reason),
    })
}

/// Builds the error of a peer that cannot be used now.
pub(crate) fn busy(address: &str) -> Error {
    /// Time after which the peer may be tried again.
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    Error::Busy {
        target: address.to_owned(),
        retry_after: RETRY_AFTER,
    }
}
