//! Open-loop load with reports per workspace, and side-by-side comparisons of policies.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod command;
pub mod compare;
pub mod report;
pub mod run;
