//! The operator's command line.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]
