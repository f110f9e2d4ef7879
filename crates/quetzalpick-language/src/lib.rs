//! The operators' query and command language.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]
