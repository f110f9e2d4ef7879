//! To which request an answer belongs, if a request may be sent several times and an answer may be written several times.

use http::Extensions;
use strum::Display;

use super::{Carrier, Fresh, Request};

/// `Trail` remembers to which addresses one request was sent. Connections belong to addresses, whatever the names of the endpoints
/// there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trail {
    addresses: Vec<String>,
}

/// `Attempt` is one sending of a request to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    is_repeat: bool,
}

/// `Arrival` describes how an answer to an attempt arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Whether the request was sent to the address before, so that an earlier answer may bear the same id.
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
    /// Adds an attempt at an address. A request that was sent there before is marked `Fresh`, so that no answer to an earlier attempt
    /// arrives on its connection.
    pub fn begin(&mut self, address: &str, request: &mut Request) -> Attempt {
        let is_repeat = self.addresses.iter().any(|other| other == address);
        if is_repeat {
            request.extensions_mut().insert(Fresh);
        } else {
            self.addresses.push(address.to_owned());
        }
        Attempt { is_repeat }
    }
}

impl Attempt {
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
