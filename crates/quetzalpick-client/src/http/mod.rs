//! HTTP calls to outside systems, with an exact verdict on each failure.

mod body;
mod connection;
mod options;
mod pool;

pub use body::Body;
pub use options::{Options, Timeouts};
pub use pool::Pool;

/// `Request` is a call to an outside system, with its whole body.
pub type Request = hyper::Request<http_body_util::Full<bytes::Bytes>>;

/// `Response` is the answer of an outside system; its body is still to be read.
pub type Response = hyper::Response<Body>;
