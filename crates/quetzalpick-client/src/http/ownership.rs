//! To which request an answer belongs, if a request may be sent several times and an answer may be written several times.

use std::net::SocketAddr;

use http::Extensions;
use quetzalpick_core::id::Endpoint;
use strum::Display;

use super::{Carrier, Fresh, Request};

/// `Trail` remembers to which endpoints one request was sent. Connections belong to addresses, whatever the names of the endpoints
/// there; another VM that passes a request on may know an endpoint at another address.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trail {
    stops: Vec<(Endpoint, Option<SocketAddr>)>,
}

/// `Attempt` is one sending of a request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    is_repeat: bool,
}

/// `Arrival` describes how an answer to an attempt arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Whether the request was sent to the endpoint or its address before, so that an earlier answer may bear the same id.
    pub is_repeat: bool,
    /// Whether it is known to be the first answer on its connection, so that it is no copy of an earlier one.
    pub is_first: bool,
}

/// `Owner` tells to which request an answer belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Owner {
    /// To the present attempt.
    Present,
    /// To another request.
    Other,
    /// To the present attempt or to an earlier one, perhaps of the same request.
    Unknown,
}

impl Trail {
    /// Adds an attempt at an endpoint with an IP address and port. A request that was sent there before is marked `Fresh`, so that no
    /// answer to an earlier attempt arrives on its connection.
    pub fn begin(&mut self, endpoint: &Endpoint, address: &str, request: &mut Request) -> Attempt {
        // The pool compares addresses in this form; it sends nothing to one that has none.
        let address = address.parse().ok();
        let is_repeat = self
            .stops
            .iter()
            .any(|(name, other)| name == endpoint || *other == address);
        if is_repeat {
            request.extensions_mut().insert(Fresh);
        }
        self.stops.push((endpoint.clone(), address));
        Attempt { is_repeat }
    }
}

impl Attempt {
    /// Returns the attempt that a request is, as its sender has marked it.
    pub fn of(request: &Request) -> Self {
        Self {
            is_repeat: request.extensions().get::<Fresh>().is_some(),
        }
    }

    /// Describes how an answer with these extensions arrived. One that a VM of a former build passed on has no carrier: that VM may have
    /// taken a connection that had brought others.
    pub fn arrival(self, extensions: &Extensions) -> Arrival {
        let carrier = extensions.get::<Carrier>();
        Arrival {
            is_repeat: self.is_repeat,
            is_first: carrier.is_some_and(|carrier| carrier.is_first()),
        }
    }
}

impl Arrival {
    /// Determines to which request the answer belongs, from the id that it bears and the id of the request, in bytes.
    pub fn owner(self, borne: Option<&[u8]>, expected: Option<&[u8]>) -> Owner {
        if borne.is_some() && borne != expected {
            return Owner::Other;
        }
        if self.is_first || (borne.is_some() && !self.is_repeat) {
            Owner::Present
        } else {
            Owner::Unknown
        }
    }
}
