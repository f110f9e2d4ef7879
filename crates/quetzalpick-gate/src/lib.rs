//! The gate: keys, limits, admission, routing, retries, streams and at-most-once calls.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod api;
