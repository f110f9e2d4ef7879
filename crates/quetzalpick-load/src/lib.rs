//! Open-loop load with reports per workspace.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]
