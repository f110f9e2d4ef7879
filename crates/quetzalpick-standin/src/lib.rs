//! Stand-ins for the platform, the engines and the services, with fault switches.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]
