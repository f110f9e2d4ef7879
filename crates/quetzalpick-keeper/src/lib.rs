//! The keeper: operator API, placement, membership and snapshots.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]
