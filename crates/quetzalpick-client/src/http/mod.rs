//! HTTP calls to external systems; each failure states exactly whether the call may have run.

mod body;
pub mod buffer;
mod carrier;
mod connection;
mod framing;
mod fresh;
pub mod memory;
mod options;
mod ownership;
mod pool;

pub use body::Body;
pub use carrier::Carrier;
pub use framing::Framing;
pub use fresh::Fresh;
pub use options::{Options, Timeouts};
pub use ownership::{Arrival, Attempt, Owner, Trail};
pub use pool::Pool;

/// `Request` is a request to an external system, with its complete body.
pub type Request = hyper::Request<http_body_util::Full<bytes::Bytes>>;

/// `Response` is the answer of an external system, whose body has not been read yet.
pub type Response = hyper::Response<Body>;
