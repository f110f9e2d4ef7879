//! Open-loop load generator with reports per workspace, and a side-by-side comparison of quota schemes.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod command;
pub mod compare;
pub mod report;
pub mod run;
